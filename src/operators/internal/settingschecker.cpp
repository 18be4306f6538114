#include "operators/internal/settingschecker.h"

#include "foundation/error.h"
#include "foundation/types/endpoint.h"
#include "operators/internal/valuecheck.h"
#include "settings.pb.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace clementinesill::operators {

void SettingsChecker::require(const std::string& key) const
{
    if (!m_reader.hasKey(key))
        m_reader.fail(ConfigFault::MissingKey, key, "the key is missing", "add it");
}

void SettingsChecker::require(std::initializer_list<const char*> keys) const
{
    for (const auto* key : keys)
        require(key);
}

void SettingsChecker::recordName(const std::string& key, const std::string& text) const
{
    if (!isRecordName(text))
        m_reader.fail(ConfigFault::BadName, key, "'" + text + "' is not a valid name", "use up to 63 lower-case letters, digits and inner hyphens");
}

void SettingsChecker::endpoint(const std::string& key, const std::string& text) const
{
    if (!m_reader.hasKey(key))
        return;
    try {
        parseEndpoint(text);
    } catch (const Error& error) {
        m_reader.fail(addressFault(error), key, error.problem(), error.remedy());
    }
}

void SettingsChecker::choice(const std::string& key, const std::string& text, std::initializer_list<std::string_view> choices) const
{
    if (!m_reader.hasKey(key))
        return;
    std::string list;
    for (const auto& candidate : choices) {
        if (candidate == text)
            return;
        list.append(list.empty() ? "" : ", ").append("\"").append(candidate).append("\"");
    }
    m_reader.fail(ConfigFault::UnknownValue, key, "'" + text + "' is not known", "write one of " + list);
}

void SettingsChecker::range(const std::string& key, std::uint32_t value, std::uint32_t minimum, std::uint32_t maximum) const
{
    if (!m_reader.hasKey(key) || (value >= minimum && value <= maximum))
        return;
    m_reader.fail(ConfigFault::OutOfRange, key, std::to_string(value) + " is out of range", "use a number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
}

void SettingsChecker::rangeOrOff(const std::string& key, double value, double minimum, double maximum) const
{
    if (!m_reader.hasKey(key) || value == 0 || (value >= minimum && value <= maximum))
        return;
    std::ostringstream problem;
    problem << value << " is out of range";
    std::ostringstream remedy;
    remedy << "use a number from " << minimum << " to " << maximum << ", or 0 to switch it off";
    m_reader.fail(ConfigFault::OutOfRange, key, problem.str(), remedy.str());
}

void SettingsChecker::writableFolder(const std::string& key, const std::string& path) const
{
    std::error_code ignored;
    if (!std::filesystem::is_directory(path, ignored))
        m_reader.fail(ConfigFault::MissingFolder, key, "folder '" + path + "' does not exist", "create it or mount its disk");
    if (access(path.c_str(), R_OK | W_OK | X_OK) != 0)
        m_reader.fail(ConfigFault::MissingFolder, key, "folder '" + path + "' cannot be written", "give the daemon's user read and write permission");
}

void SettingsChecker::readableFile(const std::string& key, const std::string& path) const
{
    std::error_code ignored;
    if (!std::filesystem::is_regular_file(path, ignored) || !std::ifstream(path))
        m_reader.fail(ConfigFault::MissingFile, key, "file '" + path + "' cannot be read", "create it or correct its path and permissions");
}

void SettingsChecker::tls(const schema::TlsSettings& settings) const
{
    if (!m_reader.hasKey("tls"))
        return;
    require({ "tls.certificateFile", "tls.keyFile", "tls.authorityFile" });
    readableFile("tls.certificateFile", settings.certificate_file());
    readableFile("tls.keyFile", settings.key_file());
    readableFile("tls.authorityFile", settings.authority_file());
}

} // namespace clementinesill::operators

#include "operators/internal/valuecheck.h"

#include "operators/configerror.h"
#include "operators/schemareader.h"

#include <algorithm>

namespace clementinesill::operators {

namespace {

constexpr std::size_t maximumNameLength = 63;
constexpr std::size_t maximumFileNameLength = 128;

bool isLowerOrDigit(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
}

bool isFileNameCharacter(char character)
{
    return isLowerOrDigit(character) || (character >= 'A' && character <= 'Z') || character == '.' || character == '_' || character == '-';
}

} // namespace

bool isRecordName(std::string_view name)
{
    if (name.empty() || name.size() > maximumNameLength)
        return false;
    if (!isLowerOrDigit(name.front()) || !isLowerOrDigit(name.back()))
        return false;
    return std::ranges::all_of(name, [](char character) { return isLowerOrDigit(character) || character == '-'; });
}

void checkRecordName(const SchemaReader& reader, const std::string& key, const std::string& name)
{
    if (!reader.hasKey(key))
        reader.fail(ConfigFault::MissingKey, key, "the record has no name", "add the key name to the record");
    if (!isRecordName(name))
        reader.fail(ConfigFault::BadName, key, "'" + name + "' is not a valid name", "use up to 63 lower-case letters, digits and inner hyphens");
}

void checkFileName(const std::string& name)
{
    const bool valid = name.size() <= maximumFileNameLength && name.ends_with(".json") && !name.starts_with('.') && std::ranges::all_of(name, isFileNameCharacter);
    if (!valid)
        throw ConfigError(ErrorKind::InvalidConfiguration, ConfigFault::BadName, { .file = name }, "not a valid name for a file of the folder", "use letters, digits, '.', '_' and '-', ending in .json");
}

ConfigFault addressFault(const Error& error)
{
    return error.kind() == ErrorKind::Unsupported ? ConfigFault::Ipv6Address : ConfigFault::BadAddress;
}

} // namespace clementinesill::operators

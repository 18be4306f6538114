#include "operators/foldermerge.h"

#include "operators/configerror.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace clementinesill::operators {

namespace {

constexpr std::size_t maximumFiles = 4096;

std::string readFile(const std::filesystem::path& path)
{
    std::ifstream stream(path, std::ios::binary);
    std::string content { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
    if (!stream)
        throw ConfigError(ErrorKind::InvalidConfiguration, ConfigFault::Unreadable, { .file = path.string() }, "cannot be read", "check its permissions");
    return content;
}

} // namespace

std::vector<ConfigFile> readOperatorFolder(const std::string& folder)
{
    std::error_code status;
    std::filesystem::directory_iterator entries(folder, status);
    if (status)
        throw ConfigError(ErrorKind::InvalidConfiguration, ConfigFault::MissingFolder, { .file = folder }, "cannot be read as a folder (" + status.message() + ")", "name an existing folder");
    std::vector<ConfigFile> files;
    for (const auto& entry : entries) {
        if (!entry.is_regular_file() || entry.path().extension() != ".json")
            continue;
        if (files.size() == maximumFiles)
            throw ConfigError(ErrorKind::InvalidConfiguration, ConfigFault::TooLarge, { .file = folder }, "contains more than " + std::to_string(maximumFiles) + " files", "put more records into each file");
        files.push_back({ .name = entry.path().filename().string(), .content = readFile(entry.path()) });
    }
    std::ranges::sort(files, {}, &ConfigFile::name);
    return files;
}

} // namespace clementinesill::operators

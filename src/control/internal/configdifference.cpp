#include "control/internal/configdifference.h"

#include <map>

namespace clementinesill::control {

std::string firstDifferingFile(std::span<const schema::ConfigFile> current, const google::protobuf::RepeatedPtrField<schema::ConfigFile>& requested)
{
    std::map<std::string, std::pair<const std::string*, const std::string*>> contents;
    for (const auto& file : current)
        contents[file.name()].first = &file.content();
    for (const auto& file : requested)
        contents[file.name()].second = &file.content();
    for (const auto& [name, pair] : contents) {
        if (!pair.first || !pair.second || *pair.first != *pair.second)
            return name;
    }
    return "the configuration";
}

} // namespace clementinesill::control

#include "control/internal/configdifference.h"

#include <map>

namespace clementinesill::control {

std::string firstDifference(std::span<const schema::ConfigFile> held, const google::protobuf::RepeatedPtrField<schema::ConfigFile>& sent)
{
    std::map<std::string, std::pair<const std::string*, const std::string*>> contents;
    for (const auto& file : held)
        contents[file.name()].first = &file.content();
    for (const auto& file : sent)
        contents[file.name()].second = &file.content();
    for (const auto& [name, pair] : contents) {
        if (!pair.first || !pair.second || *pair.first != *pair.second)
            return name;
    }
    return "the configuration";
}

} // namespace clementinesill::control

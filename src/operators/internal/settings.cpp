#include "operators/settings.h"

#include "foundation/error.h"

#include <fstream>
#include <google/protobuf/util/json_util.h>
#include <nlohmann/json.hpp>

namespace clementinesill::operators {

schema::DaemonSettings loadDaemonSettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        throw Error(ErrorKind::InvalidSettings, "cannot read '" + path + "'", "name an existing settings file");
    schema::DaemonSettings settings;
    try {
        const auto json = nlohmann::json::parse(file, nullptr, true, true);
        const auto status = google::protobuf::util::JsonStringToMessage(json.dump(), &settings);
        if (!status.ok())
            throw Error(ErrorKind::InvalidSettings, path + ": " + status.ToString(), "correct the key");
    } catch (const nlohmann::json::exception& error) {
        throw Error(ErrorKind::InvalidSettings, path + ": " + error.what(), "correct the JSON");
    }
    return settings;
}

} // namespace clementinesill::operators

#pragma once

#include <string>

namespace clementinesill::operators {

// One file of the operators' folder.
struct ConfigFile {
    // Without the folder, such as "10-orders.json".
    std::string name;
    // JSON with comments, in the form of the schema message OperatorFile.
    std::string content;

    bool operator==(const ConfigFile&) const = default;
};

} // namespace clementinesill::operators

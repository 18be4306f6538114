#pragma once

#include <string>

namespace clementinesill::operators {

// Where a key stands in a settings or configuration file.
struct ConfigPosition {
    std::string file;
    // From 1; 0 if the whole file is meant.
    int line = 0;
    // Path such as "services[0].port"; empty if the whole file is meant.
    std::string key;
};

} // namespace clementinesill::operators

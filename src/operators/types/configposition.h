#pragma once

#include <string>

namespace clementinesill::operators {

// Position of a key in a settings or configuration file.
struct ConfigPosition {
    std::string file;
    // Starts at 1; 0 refers to the whole file.
    int line = 0;
    // Path such as "services[0].port"; empty for the whole file.
    std::string key;
};

} // namespace clementinesill::operators

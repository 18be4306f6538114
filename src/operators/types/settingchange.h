#pragma once

#include <string>

namespace clementinesill::operators {

// One setting whose value in the file differs from the running daemon's.
struct SettingChange {
    // Path as in the settings file, such as log.level.
    std::string setting;
    // Empty if the setting is not given.
    std::string oldValue;
    std::string newValue;
    // Whether the new value takes effect without a restart.
    bool reloadable = false;
};

} // namespace clementinesill::operators

#pragma once

#include "foundation/types/loglevel.h"

#include <cstdint>
#include <string>

namespace clementinesill {

// How and where log lines are written.
struct LogOptions {
    LogLevel level = LogLevel::Info;
    // One JSON object a line; text otherwise.
    bool json = true;
    // Standard error if empty.
    std::string file;
    // Standard output instead of standard error.
    bool standardOutput = false;
    // Lines of one event written in a second at most, some 200 bytes each, so that a flood stays within some KB; 0 for no
    // limit.
    std::uint32_t linesPerSecond = 20;
    // Added to each line as "daemon".
    std::string daemon;
};

} // namespace clementinesill

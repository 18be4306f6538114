#pragma once

#include "foundation/types/loglevel.h"

#include <cstdint>
#include <string>

namespace clementinesill {

// How and where log lines are written.
struct LogOptions {
    LogLevel level = LogLevel::Info;
    // Write one JSON object per line instead of text.
    bool json = true;
    // File to append to; standard error if empty.
    std::string file;
    // Write to standard output instead of standard error.
    bool standardOutput = false;
    // Maximum number of lines per second for each event; 0 for no limit. A line has about 200 bytes, so that the default
    // limits an event to a few KB per second.
    std::uint32_t linesPerSecond = 20;
    // Name of the daemon, the value of the key "daemon" in each JSON line.
    std::string daemon;
};

} // namespace clementinesill

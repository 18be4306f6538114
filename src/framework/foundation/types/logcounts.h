#pragma once

#include <cstdint>

namespace clementinesill {

// Numbers of log lines since the start of the process.
struct LogCounts {
    std::uint64_t written = 0;
    // Suppressed by the rate limit of their event.
    std::uint64_t suppressed = 0;
    // Dropped because the reader of standard output or standard error was too slow.
    std::uint64_t lost = 0;
};

} // namespace clementinesill

#pragma once

#include <cstdint>

namespace clementinesill {

// What became of the process's log lines since its start.
struct LogCounts {
    std::uint64_t written = 0;
    // Beyond the budget of their event.
    std::uint64_t suppressed = 0;
    // The reader of standard output was too slow.
    std::uint64_t lost = 0;
};

} // namespace clementinesill

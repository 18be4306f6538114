#pragma once

#include <cstdint>
#include <string>

namespace clementinesill::control {

// Result of proposing a command: its position in the log, or why it was rejected.
struct Proposal {
    // 0 if the command was rejected.
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::string reason;
};

} // namespace clementinesill::control

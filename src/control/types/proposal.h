#pragma once

#include <cstdint>
#include <string>

namespace clementinesill::control {

// Where a proposed command stands in the log, or why it does not.
struct Proposal {
    // 0 if it was not taken.
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::string reason;
};

} // namespace clementinesill::control

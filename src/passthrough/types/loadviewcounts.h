#pragma once

#include <cstddef>

namespace clementinesill::passthrough {

// Number of servers in each state of a balancer's view; a server may be counted in more than one.
struct LoadViewCounts {
    std::size_t busy = 0;
    std::size_t unanswered = 0;
    // Full for some priority.
    std::size_t full = 0;
};

} // namespace clementinesill::passthrough

#pragma once

#include <cstdint>

namespace clementinesill::passthrough {

struct ColdLimitOptions {
    // What a cold server bears: its rate times this factor, and this many flows more, in any second.
    double factor = 1;
    std::uint32_t extraFlows = 0;
};

} // namespace clementinesill::passthrough

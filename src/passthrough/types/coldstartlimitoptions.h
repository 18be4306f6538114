#pragma once

#include <cstdint>

namespace clementinesill::passthrough {

struct ColdStartLimitOptions {
    // A cold server may receive its rate times this factor, plus this many flows, in any second.
    double factor = 1;
    std::uint32_t extraFlows = 0;
};

} // namespace clementinesill::passthrough

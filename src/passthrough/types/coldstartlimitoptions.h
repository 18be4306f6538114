#pragma once

#include <cstdint>

namespace clementinesill::passthrough {

struct ColdStartLimitOptions {
    // Within any second, a cold server may receive as many new flows as its rate per second times the factor, plus extraFlows.
    double factor = 1;
    std::uint32_t extraFlows = 0;
};

} // namespace clementinesill::passthrough

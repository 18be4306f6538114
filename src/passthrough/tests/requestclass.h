#pragma once

#include "foundation/iclock.h"

#include <cstdint>

namespace clementinesill::passthrough {

// Requests of one route in a simulation.
struct RequestClass {
    // Requests per second.
    double rate = 0;
    // Time in a slot.
    Duration work { 0 };
    Duration targetLatency { 0 };
    Duration timeout { 0 };
    std::uint32_t priority = 0;
};

} // namespace clementinesill::passthrough

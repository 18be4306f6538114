#pragma once

#include "foundation/iclock.h"

#include <cstdint>

namespace clementinesill::admission {

// A class of requests of the queue model.
struct RequestLoad {
    // Requests per second to all servers without the burst.
    double rate = 0;
    // Factor on the rate during the burst.
    double burst = 1;
    std::uint32_t priority = 0;
    Duration work { 0 };
    Duration latencyTarget { 0 };
    Duration timeout { 0 };
};

} // namespace clementinesill::admission

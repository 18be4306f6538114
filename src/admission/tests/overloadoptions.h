#pragma once

#include "foundation/iclock.h"

#include <chrono>
#include <cstdint>

namespace clementinesill::admission {

// Parameters of the simulated callers and server.
struct OverloadOptions {
    // Arrival rate relative to the capacity of the warm server.
    double load = 1;
    std::uint64_t seed = 1;
    // Simulated time.
    Duration length = std::chrono::seconds(60);
    std::uint32_t slots = 5;
    Duration serviceTime = std::chrono::milliseconds(20);
    // Time in which the capacity of a cold server rises linearly from one request to its slots.
    Duration coldTime { 0 };
    // Time after which the server becomes cold without a restart; never if zero.
    Duration turnsColdAfter { 0 };
    bool warmupOff = false;
    // Disables admission and queue: all requests are sent to the server immediately.
    bool admissionOff = false;
};

} // namespace clementinesill::admission

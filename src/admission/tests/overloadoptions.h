#pragma once

#include "foundation/iclock.h"

#include <chrono>
#include <cstdint>

namespace clementinesill::admission {

// What the model's callers and server do.
struct OverloadOptions {
    // Arrivals over what the warm server finishes.
    double load = 1;
    std::uint64_t seed = 1;
    Duration length = std::chrono::seconds(60);
    std::uint32_t slots = 5;
    Duration serviceTime = std::chrono::milliseconds(20);
    // Time after which a cold server bears its slots; it bears one request at the start.
    Duration coldTime { 0 };
    // When the server turns cold without a restart; never if zero.
    Duration turnsCold { 0 };
    bool warmupOff = false;
    // Without admission and queue: everything goes to the server at once.
    bool admissionOff = false;
};

} // namespace clementinesill::admission

#pragma once

#include "admission/types/warmupoptions.h"

#include <cstdint>

namespace clementinesill::admission {

// Capacity of one backend server.
struct AdmissionOptions {
    // Maximum number of concurrent requests.
    std::uint32_t slots = 5;
    // Maximum number of concurrent connections.
    std::uint32_t connectionLimit = 2000;
    // Disables the warm-up limit, as a baseline for measurements.
    bool warmupOff = false;
    // The value of maximumLimit is ignored; `slots` is used instead.
    WarmupOptions warmup;
};

} // namespace clementinesill::admission

#pragma once

#include "admission/types/warmupoptions.h"

#include <cstdint>

namespace clementinesill::admission {

// What one backend server bears.
struct AdmissionOptions {
    // Requests the server runs at once.
    std::uint32_t slots = 5;
    // Connections the server holds at once.
    std::uint32_t connectionLimit = 2000;
    // Turns the warm-up limit off; a baseline for measurements.
    bool warmupOff = false;
    // The maximum is replaced by the slots.
    WarmupOptions warmup;
};

} // namespace clementinesill::admission

#pragma once

#include "foundation/iclock.h"

#include <chrono>
#include <cstdint>

namespace clementinesill::passthrough {

// What the callers of one service do around a restart of all VMs, and what its servers bear.
struct RestartLoad {
    std::uint32_t servers = 7;
    std::uint32_t slots = 5;
    // Requests a second.
    double rate = 376;
    // How long nothing answers.
    Duration outage = std::chrono::milliseconds(1500);
    // How long requests go on coming afterwards.
    Duration length = std::chrono::seconds(3);
    // Time in a slot; a cold server takes longer by the factor.
    Duration serviceTime = std::chrono::milliseconds(32);
    double coldFactor = 1.6;
    Duration coldTime = std::chrono::seconds(2);
    // Answers within the target are in time, those within the timeout late.
    Duration target = std::chrono::milliseconds(150);
    Duration timeout = std::chrono::milliseconds(1500);
    int retries = 2;
    std::uint64_t seed = 1;
};

} // namespace clementinesill::passthrough

#pragma once

#include "foundation/iclock.h"

#include <cstdint>

namespace clementinesill::admission {

// Parameters of the warm-up limit on concurrent requests (additive increase, multiplicative decrease).
struct WarmupOptions {
    // Limit for a cold server.
    std::uint32_t initialLimit = 1;
    // Limit for a warm server.
    std::uint32_t maximumLimit = 5;
    // Factor applied to the limit after a request was rejected, failed or timed out.
    double decreaseFactor = 0.5;
    // Minimum time between two increases. Doubles with each decrease and halves with each increase.
    Duration increaseInterval = std::chrono::seconds(1);
    Duration maximumIncreaseInterval = std::chrono::seconds(8);
    // Minimum time between two decreases due to failures, because one overload makes several concurrent requests fail.
    Duration decreaseInterval = std::chrono::milliseconds(250);
    // Ratio of latency to baseline at which the limit is no longer increased.
    double holdLatencyRatio = 1.5;
    // Ratio of latency to baseline at which the limit is decreased by one.
    double decreaseLatencyRatio = 2.0;
    // Ratio of latency to baseline at which the warm-up restarts, if reached in restartWindows consecutive windows.
    double restartLatencyRatio = 4.0;
    std::uint32_t restartWindows = 2;
    // Latencies below it count as equal to it.
    Duration latencyFloor = std::chrono::milliseconds(2);
    // Consecutive rejected, failed or timed out requests after which the server is considered cold.
    std::uint32_t failuresToRestart = 3;
};

} // namespace clementinesill::admission

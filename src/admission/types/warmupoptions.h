#pragma once

#include "foundation/iclock.h"

#include <cstdint>

namespace clementinesill::admission {

// How the limit on concurrent requests grows and falls.
struct WarmupOptions {
    // Requests at once that a cold server is given.
    std::uint32_t start = 1;
    // Requests at once that a warm server is given.
    std::uint32_t maximum = 5;
    // Factor of the limit after a request was shed, failed or timed out.
    double shrinkFactor = 0.5;
    // Shortest time between two steps of growth; doubled by each fall until growth succeeds.
    Duration growthInterval = std::chrono::seconds(1);
    Duration growthIntervalMaximum = std::chrono::seconds(8);
    // Falls caused by requests of one overload count once within this time.
    Duration shrinkInterval = std::chrono::milliseconds(250);
    // Latency over the baseline from which on the limit no longer grows, falls by one, and falls to the start.
    double latencyHold = 1.5;
    double latencyFall = 2.0;
    double latencyStep = 4.0;
    // Consecutive windows of latencies that make a step.
    std::uint32_t stepWindows = 2;
    // Differences below it are not looked at.
    Duration latencyFloor = std::chrono::milliseconds(2);
    // Consecutive refused, failed or timed out requests that show a cold server.
    std::uint32_t failuresToRestart = 3;
};

} // namespace clementinesill::admission

#pragma once

#include "foundation/iclock.h"

#include <chrono>
#include <cstdint>

namespace clementinesill::passthrough {

// A burst of the two classes of deployment P in docs/hard-load.md that share the main service.
struct PlacementScenario {
    std::uint32_t balancers = 22;
    std::uint32_t zones = 4;
    std::uint32_t servers = 46;
    std::uint32_t slots = 3;
    // Load before and after the burst, and during it, relative to the deployment's load, which is 0.52 of the capacity.
    double baseLoad = 1;
    double burstLoad = 4;
    Duration warmUp = std::chrono::milliseconds(500);
    Duration burst = std::chrono::seconds(2);
    Duration tail = std::chrono::milliseconds(700);
    // Share of the callers of the last zone that enter in the first one instead.
    double shiftedCallers = 0;
    // Share of the load notices that are lost.
    double lostNotices = 0;
    // Servers whose VMs have failed without the table saying so: SYNs sent there are lost.
    std::uint32_t failedServers = 0;
    // Whether balancers place by load.
    bool placesByLoad = true;
    std::uint64_t seed = 1;
};

} // namespace clementinesill::passthrough

#pragma once

#include "foundation/iclock.h"

#include <array>
#include <cstdint>

namespace clementinesill::passthrough {

// Outcomes of a PlacementSimulation.
struct PlacementOutcomes {
    struct Requests {
        std::uint64_t sent = 0;
        std::uint64_t served = 0;
        std::uint64_t servedInTime = 0;

        Requests& operator+=(const Requests& other)
        {
            sent += other.sent;
            served += other.served;
            servedInTime += other.servedInTime;
            return *this;
        }
    };

    // Requests by class, first sent during the burst.
    std::array<Requests, 2> burst;
    // Requests first sent at least 100 ms after the burst.
    Requests afterBurst;
    // Requests first sent during the burst by callers that moved to another zone, and by the others.
    Requests shifted;
    Requests unshifted;
    // Work of the responses that arrived in time for their callers during the burst, relative to the capacity.
    double goodput = 0;
    // SYNs that reached an agent during the burst, the agents that they visited, and SYNs that a balancer reset.
    std::uint64_t placed = 0;
    std::uint64_t visits = 0;
    std::uint64_t rejectedAtEntry = 0;
    // Time from the end of the burst to the last SYN that a balancer or an agent reset; negative if there was none after it.
    Duration lastRejection { -1 };
};

} // namespace clementinesill::passthrough

#pragma once

#include "foundation/iclock.h"

#include <cstddef>

namespace clementinesill::requests {

// Times and bounds of claims; the same on all agents of a service.
struct ClaimOptions {
    // How long a holder keeps a claim.
    Duration lifetime = std::chrono::seconds(120);
    // How long a claimant counts votes.
    Duration roundTimeout = std::chrono::seconds(1);
    // Longest time in which a change of the service's agents reaches every agent that still votes.
    Duration viewLag = std::chrono::seconds(5);
    // Claims held at most.
    std::size_t claims = 100000;

    // How long a holder that restarted, or that became a holder of a key, does not vote. By then every claim that
    // it cannot know of is over.
    Duration abstention() const { return lifetime + roundTimeout + 2 * viewLag; }
};

} // namespace clementinesill::requests

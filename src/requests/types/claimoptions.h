#pragma once

#include "foundation/iclock.h"

#include <cstddef>

namespace clementinesill::requests {

// Timeouts and limits of claims on idempotency keys; must be equal on all agents of a service.
struct ClaimOptions {
    // Time after which a voter drops a claim that it granted.
    Duration lifetime = std::chrono::seconds(120);
    // Time for which a claimant collects votes.
    Duration roundTimeout = std::chrono::seconds(1);
    // Upper bound on the time until a change of the service's agents has reached every agent that votes.
    Duration maxViewDelay = std::chrono::seconds(5);
    // Maximum number of claims that a voter stores.
    std::size_t maxClaims = 100000;

    // Time for which a voter abstains after a restart, or on a key after it became a voter of that key.
    // Every claim granted without its knowledge has expired by then.
    Duration abstentionPeriod() const { return lifetime + roundTimeout + 2 * maxViewDelay; }
};

} // namespace clementinesill::requests

#pragma once

#include "foundation/iclock.h"

#include <chrono>

namespace clementinesill::passthrough {

struct HeldFlowsOptions {
    // A flow without a packet for this long is forgotten.
    Duration idleTimeout = std::chrono::seconds(60);
    // A flow that the caller never completed: its copies of the opening packet end sooner.
    Duration openingTimeout = std::chrono::milliseconds(2500);
    // A closed flow is kept for its last packets.
    Duration closedTimeout = std::chrono::seconds(8);
};

} // namespace clementinesill::passthrough

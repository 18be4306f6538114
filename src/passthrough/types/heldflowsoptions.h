#pragma once

#include "fleet/types/flowkey.h"
#include "foundation/iclock.h"

#include <chrono>
#include <functional>

namespace clementinesill::passthrough {

struct HeldFlowsOptions {
    // A flow without a packet for this long is forgotten.
    Duration idleTimeout = std::chrono::seconds(60);
    // A flow that the caller never completed: its copies of the opening packet end sooner.
    Duration openingTimeout = std::chrono::milliseconds(2500);
    // A closed flow is kept for its last packets.
    Duration closedTimeout = std::chrono::seconds(8);
    // Called for each answer that has begun with the time since its request, if set.
    std::function<void(const fleet::FlowKey&, Duration)> answered;
};

} // namespace clementinesill::passthrough

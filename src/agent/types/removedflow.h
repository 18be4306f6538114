#pragma once

#include "agent/types/flowentry.h"
#include "fleet/types/flowkey.h"

namespace clementinesill::agent {

// A flow that the flow table gave up, as it was at last.
struct RemovedFlow {
    fleet::FlowKey key;
    FlowEntry entry;

    // Whether its admission is still to be released: nobody else ends a flow that no task serves.
    bool holdsAdmission() const { return entry.state != FlowState::Closing && !entry.served; }
};

} // namespace clementinesill::agent

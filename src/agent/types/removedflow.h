#pragma once

#include "agent/types/flowentry.h"
#include "fleet/types/flowkey.h"

namespace clementinesill::agent {

// A flow that was removed from the flow table, with its last state.
struct RemovedFlow {
    fleet::FlowKey key;
    FlowEntry entry;

    // Whether the receiver must release the flow's admission. A task that serves a flow releases the admission itself.
    bool holdsAdmission() const { return entry.state != FlowState::Closing && !entry.served; }
};

} // namespace clementinesill::agent

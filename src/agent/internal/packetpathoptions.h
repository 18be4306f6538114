#pragma once

#include "agent/types/serveridentity.h"
#include "foundation/types/endpoint.h"

namespace clementinesill {
class MetricsRegistry;
}

namespace clementinesill::admin {
class DecisionTrace;
}

namespace clementinesill::fleet {
class ITableSource;
}

namespace clementinesill::agent {

class IFlowRouter;
class IFlowTable;

// Dependencies and settings of the packet path. The references must outlive it.
struct PacketPathOptions {
    // Where the agent receives datagrams.
    Endpoint endpoint;
    ServerIdentity identity;
    IFlowRouter& router;
    IFlowTable& flows;
    fleet::ITableSource& tables;
    MetricsRegistry& metrics;
    // Records all decisions except those with the reason FlowHeld.
    admin::DecisionTrace& trace;
};

} // namespace clementinesill::agent

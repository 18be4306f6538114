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

// What the packet path works with. The references must outlive it.
struct PacketPathOptions {
    Endpoint endpoint;
    ServerIdentity identity;
    IFlowRouter& router;
    IFlowTable& flows;
    fleet::ITableSource& tables;
    MetricsRegistry& metrics;
    // Takes every decision but to deliver a held flow's packet.
    admin::DecisionTrace& trace;
};

} // namespace clementinesill::agent

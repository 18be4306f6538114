#pragma once

#include "agent/types/serveridentity.h"
#include "foundation/iclock.h"

#include <chrono>
#include <cstddef>

namespace clementinesill {
class IClock;
}

namespace clementinesill::admission {
class IAdmission;
}

namespace clementinesill::agent {

class IFlowTable;
class IMissLog;

// Dependencies and limits of the flow router. The references must outlive it.
struct FlowRouterOptions {
    ServerIdentity identity;
    IFlowTable& flows;
    IMissLog& misses;
    admission::IAdmission& admission;
    const IClock& clock;
    // Maximum number of half-open flows; opening one more evicts the oldest.
    std::size_t halfOpenLimit = 256;
    // Accepts a flow that every server rejected, within the connection limit, so that its requests get an error response
    // with a retry time. Only possible if the service's protocol has such a response (HTTP).
    bool canRejectRequests = false;
    // Maximum time by which a controller that confirms a table may lag behind the newest version.
    Duration confirmationLag = std::chrono::seconds(2);
};

} // namespace clementinesill::agent

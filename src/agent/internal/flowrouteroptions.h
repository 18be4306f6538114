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

// What the router works with. The references must outlive it.
struct FlowRouterOptions {
    ServerIdentity identity;
    IFlowTable& flows;
    IMissLog& misses;
    admission::IAdmission& admission;
    const IClock& clock;
    // Half-open flows held at once; one more ends the oldest.
    std::size_t halfOpenLimit = 256;
    // Takes a flow that every server refused if the connection limit allows: its protocol can tell when to come back.
    bool answersRefusals = false;
    // How far behind the newest table a controller that confirms one may be.
    Duration confirmationLag = std::chrono::seconds(2);
};

} // namespace clementinesill::agent

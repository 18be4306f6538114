#pragma once

#include "foundation/iclock.h"

#include <chrono>
#include <string>

namespace clementinesill {
class IClock;
}

namespace clementinesill::agent {
class IMissLog;
}

namespace clementinesill::passthrough {

class ColdStartLimit;
class FlowTracker;
class LocalServer;
class ServerFailures;
class ServerLoad;
class WaitingOpenings;

// Settings and collaborators of a RelayRouter. The references must outlive it.
struct RelayRouterOptions {
    std::string zone;
    FlowTracker& flows;
    LocalServer& server;
    ServerLoad& load;
    ColdStartLimit& coldStartLimit;
    agent::IMissLog& misses;
    const IClock& clock;
    // Maximum lifetime of a flow. An agent that has run for longer tracks all flows of its server.
    Duration flowLifetime = std::chrono::seconds(60);
    // If set, a new flow that finds no free slot waits here instead of in the server's queue, and the search for room is
    // limited; see roomsearch.h.
    WaitingOpenings* waiting = nullptr;
    // If set, a server that fails too many requests is given new flows only as probes, or if no other server can be asked.
    ServerFailures* failures = nullptr;
};

} // namespace clementinesill::passthrough

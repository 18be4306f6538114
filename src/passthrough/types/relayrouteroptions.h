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

class ColdLimit;
class HeldFlows;
class LocalServer;
class ServerLoad;

// What the router works with. The references must outlive it.
struct RelayRouterOptions {
    std::string zone;
    HeldFlows& flows;
    LocalServer& server;
    ServerLoad& load;
    ColdLimit& cold;
    agent::IMissLog& misses;
    const IClock& clock;
    // Longest life of a flow: an agent that runs for longer knows all flows of its server.
    Duration flowLifetime = std::chrono::seconds(60);
};

} // namespace clementinesill::passthrough

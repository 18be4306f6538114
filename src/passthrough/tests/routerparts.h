#pragma once

#include "agent/internal/misslog.h"
#include "foundation/iclock.h"
#include "passthrough/coldlimit.h"
#include "passthrough/heldflows.h"
#include "passthrough/localserver.h"
#include "passthrough/relayrouter.h"
#include "passthrough/serverload.h"

#include <string>

namespace clementinesill::passthrough {

constexpr std::chrono::milliseconds testHeartbeat { 770 };

// One agent's router with all that it works with. The clock must outlive it.
struct RouterParts {
    explicit RouterParts(const IClock& clock, const std::string& zone = "mandaue", Duration heartbeat = testHeartbeat, const ColdLimitOptions& coldOptions = {})
        : server(clock, heartbeat)
        , cold(clock, coldOptions)
        , flows(load, clock)
        , router({ .zone = zone, .flows = flows, .server = server, .load = load, .cold = cold, .misses = misses, .clock = clock })
    {
    }

    ServerLoad load;
    LocalServer server;
    ColdLimit cold;
    HeldFlows flows;
    agent::MissLog misses { 64 };
    RelayRouter router;
};

} // namespace clementinesill::passthrough

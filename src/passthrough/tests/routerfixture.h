#pragma once

#include "agent/internal/misslog.h"
#include "foundation/iclock.h"
#include "passthrough/coldstartlimit.h"
#include "passthrough/flowtracker.h"
#include "passthrough/localserver.h"
#include "passthrough/relayrouter.h"
#include "passthrough/serverfailures.h"
#include "passthrough/serverload.h"

#include <string>

namespace clementinesill::passthrough {

constexpr std::chrono::milliseconds testHeartbeatInterval { 770 };

// An agent's router and its collaborators. The clock must outlive it.
struct RouterFixture {
    explicit RouterFixture(const IClock& clock, const std::string& zone = "mandaue", Duration heartbeatInterval = testHeartbeatInterval, const ColdStartLimitOptions& coldStartOptions = {}, Duration requestTimeout = Duration::zero())
        : server(clock, heartbeatInterval)
        , coldStartLimit(clock, coldStartOptions)
        , failures(clock)
        , flows(load, clock, { .requestTimeout = requestTimeout, .failures = &failures })
        , router({ .zone = zone, .flows = flows, .server = server, .load = load, .coldStartLimit = coldStartLimit, .misses = misses, .clock = clock })
    {
    }

    ServerLoad load;
    LocalServer server;
    ColdStartLimit coldStartLimit;
    ServerFailures failures;
    FlowTracker flows;
    agent::MissLog misses { 64 };
    RelayRouter router;
};

} // namespace clementinesill::passthrough

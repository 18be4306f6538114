#pragma once

#include "agent/internal/flowrouter.h"
#include "agent/internal/flowtable.h"
#include "agent/internal/misslog.h"
#include "agent/internal/sequencewindow.h"
#include "agent/tests/fakeadmission.h"
#include "fleet/fleettable.h"
#include "foundation/iclock.h"

#include <memory>

namespace clementinesill::agent {

// One agent: its flow router with the dependencies, and its own version of the fleet table.
struct SimulatedAgent {
    SimulatedAgent(const ServerIdentity& identity, const IClock& clock, std::shared_ptr<const fleet::FleetTable> newest, std::uint32_t connectionLimit, std::size_t halfOpenLimit, bool canRejectRequests)
        : identity(identity)
        , table(std::move(newest))
        , admission(connectionLimit)
        , router({ .identity = identity, .flows = flows, .misses = misses, .admission = admission, .clock = clock, .halfOpenLimit = halfOpenLimit, .canRejectRequests = canRejectRequests })
    {
    }

    ServerIdentity identity;
    std::shared_ptr<const fleet::FleetTable> table;
    MonotonicTime confirmedAt;
    FlowTable flows;
    MissLog misses { 64 };
    FakeAdmission admission;
    FlowRouter router;
};

} // namespace clementinesill::agent

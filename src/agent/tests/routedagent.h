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

// One agent: the decision classes with a table of its own.
struct RoutedAgent {
    RoutedAgent(const ServerIdentity& identity, const IClock& clock, std::shared_ptr<const fleet::FleetTable> newest, std::uint32_t connectionLimit, std::size_t halfOpenLimit, bool answersRefusals)
        : identity(identity)
        , table(std::move(newest))
        , admission(connectionLimit)
        , router({ .identity = identity, .flows = flows, .misses = misses, .admission = admission, .clock = clock, .halfOpenLimit = halfOpenLimit, .answersRefusals = answersRefusals })
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

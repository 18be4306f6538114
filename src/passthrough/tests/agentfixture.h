#pragma once

#include "agent/types/tableview.h"
#include "fleet/fleettable.h"
#include "passthrough/tests/clockfixture.h"
#include "passthrough/tests/packets.h"
#include "passthrough/tests/routerfixture.h"
#include "passthrough/tests/testtable.h"
#include "passthrough/types/search.h"

#include <memory>
#include <string>

namespace clementinesill::passthrough {

// An agent's router with its own clock and server.
struct AgentFixture : ClockFixture, RouterFixture {
    explicit AgentFixture(std::uint32_t id, std::uint32_t service = deskService, const std::string& zone = "mandaue")
        : RouterFixture(clock, zone, testHeartbeatInterval, { .factor = 1.5, .extraFlows = 5 })
        , id(id)
    {
        load.setSlots(2);
        router.setServer(id, service);
        sendHeartbeat();
        // Makes the agent older than any flow.
        clock.advance(std::chrono::seconds(61));
        sendHeartbeat();
    }

    void sendHeartbeat(bool draining = false)
    {
        server.applyHeartbeat({ .name = "server-" + std::to_string(id), .service = "desk", .zone = "mandaue", .slots = 2, .draining = draining, .sequence = ++sequence, .startedAtMs = 5 });
    }

    agent::TableView view() const { return { .table = *table, .confirmedAt = confirmedAt }; }

    // Another process serves in place of one that drained.
    void replaceServerProcess()
    {
        server.recordPortState(false);
        server.recordPortState(true);
        sendHeartbeat();
    }

    // Returns the search of a packet received directly from a balancer with the same table.
    Search search() const
    {
        Search result;
        result.route = { .tableVersion = table->version(), .serviceId = deskService, .serverId = id, .incarnation = 1, .balancer = {}, .ingress = {} };
        return result;
    }

    RelayDecision decide(const FlowPacket& packet) { return router.decide(search(), packet, view()); }

    // Opens the flow and completes its handshake.
    void openFlow(std::uint16_t port = 40001)
    {
        flows.open(synPacket(port));
        flows.recordServerPacket(synAckPacket(5000, port));
        flows.recordCallerPacket(callerPacket(5000, 0, 1001, port));
    }

    std::uint32_t id;
    std::uint64_t sequence = 0;
    TestTable tables;
    std::shared_ptr<const fleet::FleetTable> table = tables.build();
    MonotonicTime confirmedAt;
};

} // namespace clementinesill::passthrough

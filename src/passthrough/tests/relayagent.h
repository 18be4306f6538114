#pragma once

#include "agent/types/tableview.h"
#include "fleet/fleettable.h"
#include "passthrough/tests/ownclock.h"
#include "passthrough/tests/packets.h"
#include "passthrough/tests/relaytable.h"
#include "passthrough/tests/routerparts.h"
#include "passthrough/types/search.h"

#include <memory>
#include <string>

namespace clementinesill::passthrough {

// One agent's decisions with a clock and a server of their own.
struct RelayAgent : OwnClock, RouterParts {
    explicit RelayAgent(std::uint32_t id, std::uint32_t service = deskService, const std::string& zone = "mandaue")
        : RouterParts(clock, zone, testHeartbeat, { .factor = 1.5, .extraFlows = 5 })
        , id(id)
    {
        load.setSlots(2);
        router.setServer(id, service);
        beat();
        // Older than any flow, unless a test says otherwise.
        clock.advance(std::chrono::seconds(61));
        beat();
    }

    void beat(bool draining = false)
    {
        server.accept({ .name = "server-" + std::to_string(id), .service = "desk", .zone = "mandaue", .slots = 2, .draining = draining, .sequence = ++sequence, .startedAtMs = 5 });
    }

    agent::TableView view() const { return { .table = *table, .confirmedAt = confirmedAt }; }

    // A packet straight from a balancer with the same table.
    Search search() const
    {
        Search result;
        result.route = { .tableVersion = table->version(), .serviceId = deskService, .serverId = id, .incarnation = 1, .balancer = {}, .ingress = {} };
        return result;
    }

    RelayDecision decide(const FlowPacket& packet) { return router.decide(search(), packet, view()); }

    // Opens the flow and lets the server answer and the caller acknowledge.
    void open(std::uint16_t port = 40001)
    {
        flows.open(opening(port));
        flows.noteServer(openingAnswer(5000, port));
        flows.noteCaller(fromCaller(5000, 0, 1001, port));
    }

    std::uint32_t id;
    std::uint64_t sequence = 0;
    RelayTable tables;
    std::shared_ptr<const fleet::FleetTable> table = tables.build();
    MonotonicTime confirmedAt;
};

} // namespace clementinesill::passthrough

#pragma once

#include "agent/internal/misslog.h"
#include "agent/types/tableview.h"
#include "fleet.pb.h"
#include "fleet/fleettable.h"
#include "passthrough/coldlimit.h"
#include "passthrough/heldflows.h"
#include "passthrough/localserver.h"
#include "passthrough/relayrouter.h"
#include "passthrough/tests/packets.h"
#include "passthrough/types/search.h"
#include "testing/manualclock.h"

#include <memory>
#include <string>

namespace clementinesill::passthrough {

constexpr std::chrono::milliseconds testHeartbeat { 770 };
constexpr std::uint32_t deskService = 1;
constexpr std::uint32_t galleryService = 2;

// A table of two services; server 1 and 2 of the first one stand in mandaue, 3 in talisay, server 4 serves the second one.
class RelayTable {
public:
    RelayTable()
    {
        m_table.set_version(10);
        m_table.set_hash_seed(7);
        m_table.set_document_version(3);
        for (const auto id : { deskService, galleryService }) {
            auto& service = *m_table.add_services();
            service.set_id(id);
            service.set_name(id == deskService ? "desk" : "gallery");
        }
        addServer(1, deskService, "mandaue");
        addServer(2, deskService, "mandaue");
        addServer(3, deskService, "talisay");
        addServer(4, galleryService, "mandaue");
        auto& route = *m_table.add_routes();
        route.set_endpoint(format(testService));
        route.set_timeout_ms(1000);
        auto& target = *route.add_targets();
        target.set_service_id(deskService);
        target.set_weight(1);
    }

    schema::Table& table() { return m_table; }
    schema::Server& server(std::uint32_t id) { return *m_table.mutable_servers(static_cast<int>(id) - 1); }

    std::shared_ptr<const fleet::FleetTable> build()
    {
        m_table.set_version(m_table.version() + 1);
        return std::make_shared<const fleet::FleetTable>(m_table);
    }

private:
    void addServer(std::uint32_t id, std::uint32_t service, const std::string& zone)
    {
        auto& server = *m_table.add_servers();
        server.set_id(id);
        server.set_incarnation(1);
        server.set_service_id(service);
        server.set_zone(zone);
        server.set_agent_endpoint("10.0.0." + std::to_string(id) + ":8172");
        server.set_slots(2);
        server.set_state(schema::SERVER_STATE_ACTIVE);
        server.set_name("server-" + std::to_string(id));
    }

    schema::Table m_table;
};

// One agent's decisions with a clock and a server of their own.
struct RelayAgent {
    explicit RelayAgent(std::uint32_t id, std::uint32_t service = deskService, const std::string& zone = "mandaue")
        : id(id)
        , router({ .zone = zone, .flows = flows, .server = server, .load = load, .cold = cold, .misses = misses, .clock = clock })
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
    ManualClock clock;
    RelayTable tables;
    std::shared_ptr<const fleet::FleetTable> table = tables.build();
    MonotonicTime confirmedAt;
    ServerLoad load;
    LocalServer server { clock, testHeartbeat };
    ColdLimit cold { clock, { .factor = 1.5, .extraFlows = 5 } };
    HeldFlows flows { load, clock };
    agent::MissLog misses { 64 };
    RelayRouter router;
};

} // namespace clementinesill::passthrough

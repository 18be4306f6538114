#pragma once

#include "fleet.pb.h"
#include "fleet/fleettable.h"
#include "passthrough/tests/packets.h"

#include <memory>
#include <string>

namespace clementinesill::passthrough {

constexpr std::uint32_t deskService = 1;
constexpr std::uint32_t galleryService = 2;

// Starts a table with the version, hash seed and document version that tests use.
inline schema::Table makeTestTable()
{
    schema::Table table;
    table.set_version(10);
    table.set_hash_seed(7);
    table.set_document_version(3);
    return table;
}

inline void addTestServer(schema::Table& table, std::uint32_t id, std::uint32_t service, const std::string& zone, std::uint32_t slots = 2)
{
    auto& server = *table.add_servers();
    server.set_id(id);
    server.set_incarnation(1);
    server.set_service_id(service);
    server.set_zone(zone);
    server.set_agent_endpoint("10.0.0." + std::to_string(id) + ":8172");
    server.set_slots(slots);
    server.set_state(schema::SERVER_STATE_ACTIVE);
    server.set_name("server-" + std::to_string(id));
}

// Builds a table with two services: servers 1 and 2 of the first service are in zone mandaue, 3 in talisay; server 4 belongs to
// the second service.
class TestTable {
public:
    TestTable()
    {
        for (const auto id : { deskService, galleryService }) {
            auto& service = *m_table.add_services();
            service.set_id(id);
            service.set_name(id == deskService ? "desk" : "gallery");
        }
        addTestServer(m_table, 1, deskService, "mandaue");
        addTestServer(m_table, 2, deskService, "mandaue");
        addTestServer(m_table, 3, deskService, "talisay");
        addTestServer(m_table, 4, galleryService, "mandaue");
        auto& route = *m_table.add_routes();
        route.set_endpoint(format(testService));
        route.set_timeout_ms(1000);
        auto& target = *route.add_targets();
        target.set_service_id(deskService);
        target.set_weight(1);
    }

    schema::Table& table() { return m_table; }
    schema::Server& server(std::uint32_t id) { return *m_table.mutable_servers(static_cast<int>(id) - 1); }

    // Returns the table with the next version number.
    std::shared_ptr<const fleet::FleetTable> build()
    {
        m_table.set_version(m_table.version() + 1);
        return std::make_shared<const fleet::FleetTable>(m_table);
    }

private:
    schema::Table m_table = makeTestTable();
};

} // namespace clementinesill::passthrough

#include "fleet/fleettable.h"

#include "fleet.pb.h"
#include "foundation/types/endpoint.h"

#include <CppUTest/TestHarness.h>
#include <string>

using namespace clementinesill;
using namespace clementinesill::fleet;

namespace {

void addServer(schema::Table& table, std::uint32_t id, std::uint32_t serviceId, const std::string& endpoint)
{
    auto& server = *table.add_servers();
    server.set_id(id);
    server.set_service_id(serviceId);
    server.set_agent_endpoint(endpoint);
}

void addRoute(schema::Table& table, const std::string& endpoint)
{
    auto& route = *table.add_routes();
    route.set_endpoint(endpoint);
    route.add_targets()->set_service_id(1);
}

} // namespace

// clang-format off
TEST_GROUP(FleetTable) {};
// clang-format on

TEST(FleetTable, InvalidRecordsDoNotCostTheOthers)
{
    schema::Table table;
    table.set_version(7);
    table.add_services()->set_id(1);
    auto& invalidService = *table.add_services();
    invalidService.set_id(2);
    invalidService.set_address("198.18.0.1.5");
    addRoute(table, "198.18.0.1:70000");
    addRoute(table, "198.18.0.1:8443");
    addServer(table, 3, 1, "10.0.0.3:65536");
    addServer(table, 4, 1, "");
    addServer(table, 5, 9, "10.0.0.5:7000");
    addServer(table, 6, 1, "10.0.0.6:7000");

    const FleetTable read(table);

    LONGS_EQUAL(7, read.version());
    LONGS_EQUAL(1, read.services().size());
    CHECK(read.route(parseEndpoint("198.18.0.1:8443")) != nullptr);
    LONGS_EQUAL(1, read.serverCount());
    CHECK(read.server(6) != nullptr);
    LONGS_EQUAL(6, read.newestServerId());
}

// Guards against new flows to a service that the configuration no longer names, or to its address after that was given to another.
TEST(FleetTable, AddressOfRetiredServiceIsFree)
{
    schema::Table table;
    for (const std::uint32_t id : { 1, 2 }) {
        auto& service = *table.add_services();
        service.set_id(id);
        service.set_address("198.18.0.1");
        service.set_port(80);
        service.set_protocol(schema::PROTOCOL_TCP);
        service.set_retired(id == 2);
    }
    addServer(table, 3, 2, "10.0.0.3:7000");
    const FleetTable current(table);
    LONGS_EQUAL(1, current.service(parseEndpoint("198.18.0.1:80"), TransportProtocol::Tcp)->id);
    CHECK(current.server(3));
}

#include "control/fleetstate.h"

#include "fleet/fleettable.h"
#include "foundation/types/endpoint.h"

#include <CppUTest/TestHarness.h>
#include <string>
#include <vector>

using namespace clementinesill;
using namespace clementinesill::control;

namespace {

constexpr auto routeEndpoint = "198.18.0.1:8443";

// A document whose route leads to the first of the services.
schema::Command documentCommand(std::uint64_t version, const std::vector<std::string>& services)
{
    schema::Command command;
    auto& document = *command.mutable_document();
    document.set_version(version);
    for (const auto& service : services)
        document.add_services()->set_name(service);
    auto& route = *document.add_routes();
    route.set_endpoint(routeEndpoint);
    auto& target = *route.add_targets();
    target.set_service_id(0);
    target.set_weight(1);
    return command;
}

schema::Command announceCommand(const std::string& service, std::uint64_t bootId = 1)
{
    schema::Command command;
    auto& announcement = *command.mutable_announcement();
    announcement.set_name("server-of-" + service);
    announcement.set_service(service);
    announcement.set_zone("mandaue");
    announcement.set_agent_endpoint(service == "old-desk" ? "10.0.0.1:8172" : "10.0.0.2:8172");
    announcement.set_boot_id(bootId);
    return command;
}

schema::Command leaveCommand(const CommandResult& registration)
{
    schema::Command command;
    command.mutable_leave()->set_server_id(registration.serverId);
    command.mutable_leave()->set_incarnation(registration.incarnation);
    return command;
}

} // namespace

// clang-format off
TEST_GROUP(RetiredServices)
{
    FleetState state;
    CommandResult oldServer;
    CommandResult newServer;

    // The route moves to another service, and the document no longer names the one that has open flows.
    void setup() override
    {
        state.apply(documentCommand(1, { "old-desk", "new-desk" }));
        oldServer = state.apply(announceCommand("old-desk"));
        newServer = state.apply(announceCommand("new-desk"));
        state.apply(documentCommand(2, { "new-desk" }));
    }

    fleet::FleetTable table() const { return fleet::FleetTable(state.table()); }

    std::uint32_t targetService() const { return table().route(parseEndpoint(routeEndpoint))->serviceFor(1); }
};
// clang-format on

TEST(RetiredServices, TakesNoNewFlows)
{
    const auto current = table();
    const auto* server = current.server(oldServer.serverId);
    LONGS_EQUAL(oldServer.incarnation, server->incarnation);
    LONGS_EQUAL(current.server(newServer.serverId)->serviceId, targetService());
    CHECK(current.service(server->serviceId)->retired);
}

// Their agents report as before: a restart of the agent, a drain and the end of the server take effect.
TEST(RetiredServices, ServerOfRetiredServiceRegistersDrainsAndLeaves)
{
    LONGS_EQUAL(oldServer.serverId, state.apply(announceCommand("old-desk")).serverId);
    auto drain = leaveCommand(oldServer);
    drain.mutable_leave()->set_draining(true);
    state.apply(drain);
    CHECK(table().server(oldServer.serverId)->draining);
    state.apply(leaveCommand(oldServer));
    CHECK(!table().server(oldServer.serverId));
    const auto restarted = state.apply(announceCommand("old-desk", 2));
    LONGS_EQUAL(schema::Outcome::CODE_OK, restarted.code);
    CHECK(table().server(restarted.serverId));
}

// Guards against a service that gets a new id, so that its servers and their open flows are lost, when it is listed again.
TEST(RetiredServices, ServiceThatIsListedAgainKeepsItsServers)
{
    FleetState restored;
    restored.restore(state.snapshot());
    restored.apply(documentCommand(3, { "old-desk" }));
    const fleet::FleetTable current(restored.table());
    const auto* server = current.server(oldServer.serverId);
    CHECK(server);
    LONGS_EQUAL(oldServer.incarnation, server->incarnation);
    CHECK_FALSE(current.service(server->serviceId)->retired);
    LONGS_EQUAL(server->serviceId, current.route(parseEndpoint(routeEndpoint))->serviceFor(1));
    CHECK(current.server(newServer.serverId));
}

// Retired services are bounded: those without servers by a limit, the others by their servers.
TEST(RetiredServices, ServicesWithoutServersAreEvictedOldestFirst)
{
    constexpr std::size_t limit = 256;
    std::uint64_t version = 2;
    for (std::size_t count = 0; count < limit + 10; ++count)
        state.apply(documentCommand(++version, { "service-" + std::to_string(count), "new-desk" }));
    const auto current = table();
    CHECK(current.services().size() <= limit + 3);
    CHECK(!current.service("service-0"));
    CHECK(current.service("service-" + std::to_string(limit)));
    CHECK(current.service("old-desk"));
    CHECK(current.server(oldServer.serverId));
}

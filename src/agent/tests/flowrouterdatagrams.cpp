#include "agent/internal/flowrouter.h"

#include "agent/tests/simulatedfleet.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::agent;

// clang-format off
TEST_GROUP(FlowRouterDatagrams)
{
    SimulatedFleet fleet;
    fleet::FlowKey key = testKey(1);

    void setup() override
    {
        fleet.protocol = fleet::TransportProtocol::Udp;
        key.protocol = fleet::TransportProtocol::Udp;
        fleet.schema.clear_services();
        fleet.addService(testServiceId, testService);
    }

    void addServers(std::uint32_t count)
    {
        for (std::uint32_t id = 1; id <= count; ++id)
            fleet.addServer(id);
        fleet.distributeTable();
    }

    FlowDecision send(std::uint32_t first)
    {
        last = fleet.messageTo(*fleet.latestTable(), { .bytes = {}, .key = key }, *fleet.latestTable()->server(first));
        last.message.route->flags = dataplane::Route::opensFlow;
        return fleet.processUntilDecided(last);
    }

    std::uint32_t lastServerId() { return fleet.agents.at(last.target.address)->identity.serverId; }

    SentMessage last;
};
// clang-format on

TEST(FlowRouterDatagrams, OpensUnknownFlowAtFirstAcceptingServerFromAnyEntry)
{
    addServers(5);
    for (std::uint32_t caller = 1; caller < 30; ++caller) {
        key = testKey(caller);
        key.protocol = fleet::TransportProtocol::Udp;
        const auto first = SimulatedFleet::rankedServers(*fleet.latestTable(), key)[0].id;
        CHECK(send(caller % 5 + 1).action == FlowAction::Open);
        LONGS_EQUAL(first, lastServerId());
    }
}

TEST(FlowRouterDatagrams, FlowStaysWithHolderThatDrains)
{
    addServers(5);
    CHECK(send(1).action == FlowAction::Open);
    const auto holder = lastServerId();
    // The holder drains, and servers with a higher rank are added.
    fleet.setDraining(holder, true);
    for (std::uint32_t id = 6; id <= 12; ++id)
        fleet.addServer(id);
    fleet.distributeTable();
    for (std::uint32_t first = 1; first <= 12; ++first) {
        CHECK(send(first).reason == FlowReason::FlowHeld);
        LONGS_EQUAL(holder, lastServerId());
    }
}

TEST(FlowRouterDatagrams, ForwardsNewFlowWhenFullAndDropsWhenAllAreFull)
{
    fleet.connectionLimit = 1;
    addServers(3);
    for (std::uint32_t caller = 1; caller <= 3; ++caller) {
        key = testKey(caller);
        key.protocol = fleet::TransportProtocol::Udp;
        CHECK(send(1).action == FlowAction::Open);
    }
    key = testKey(4);
    key.protocol = fleet::TransportProtocol::Udp;
    const auto decision = send(1);
    CHECK(decision.reason == FlowReason::RejectedByAllServers);
    CHECK(last.message.route->hops <= 8);
}

TEST(FlowRouterDatagrams, StaleAgentDoesNotOpenFlow)
{
    addServers(1);
    const auto before = fleet.latestTable();
    fleet.addServer(2);
    fleet.agent(1).table = before;
    CHECK(send(1).reason == FlowReason::TableStale);
}

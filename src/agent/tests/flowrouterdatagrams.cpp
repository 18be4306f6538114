#include "agent/internal/flowrouter.h"

#include "agent/tests/routedfleet.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::agent;

// clang-format off
TEST_GROUP(FlowRouterDatagrams)
{
    RoutedFleet fleet;
    fleet::FlowKey key = testKey(1);

    void setup() override
    {
        fleet.protocol = fleet::TransportProtocol::Udp;
        key.protocol = fleet::TransportProtocol::Udp;
        fleet.schema.clear_services();
        fleet.addService(testServiceId, testService);
    }

    void joinServers(std::uint32_t count)
    {
        for (std::uint32_t id = 1; id <= count; ++id)
            fleet.join(id);
        fleet.spread();
    }

    FlowDecision send(std::uint32_t first)
    {
        last = fleet.addressed(*fleet.newest(), { .bytes = {}, .key = key }, *fleet.newest()->server(first));
        last.message.route->flags = dataplane::Route::opensFlow;
        return fleet.follow(last);
    }

    std::uint32_t lastServer() { return fleet.agents.at(last.target.address)->identity.serverId; }

    SentMessage last;
};
// clang-format on

TEST(FlowRouterDatagrams, AnUnknownFlowOpensAtTheFirstAcceptingWhereverItEnters)
{
    joinServers(5);
    for (std::uint32_t caller = 1; caller < 30; ++caller) {
        key = testKey(caller);
        key.protocol = fleet::TransportProtocol::Udp;
        const auto first = RoutedFleet::ranked(*fleet.newest(), key)[0].id;
        CHECK(send(caller % 5 + 1).action == FlowAction::Open);
        LONGS_EQUAL(first, lastServer());
    }
}

TEST(FlowRouterDatagrams, AnEstablishedFlowIsNotTakenOver)
{
    joinServers(5);
    CHECK(send(1).action == FlowAction::Open);
    const auto holder = lastServer();
    // Its holder drains, and others come that rank before it.
    fleet.setDraining(holder, true);
    for (std::uint32_t id = 6; id <= 12; ++id)
        fleet.join(id);
    fleet.spread();
    for (std::uint32_t first = 1; first <= 12; ++first) {
        CHECK(send(first).reason == FlowReason::Held);
        LONGS_EQUAL(holder, lastServer());
    }
}

TEST(FlowRouterDatagrams, AFullServerPassesTheFlowOnAndTheLastDropsIt)
{
    fleet.connectionLimit = 1;
    joinServers(3);
    for (std::uint32_t caller = 1; caller <= 3; ++caller) {
        key = testKey(caller);
        key.protocol = fleet::TransportProtocol::Udp;
        CHECK(send(1).action == FlowAction::Open);
    }
    key = testKey(4);
    key.protocol = fleet::TransportProtocol::Udp;
    const auto decision = send(1);
    CHECK(decision.reason == FlowReason::AdmittedByNobody);
    CHECK(last.message.route->hops <= 8);
}

TEST(FlowRouterDatagrams, AnAgentBehindTheSenderOpensNothing)
{
    joinServers(1);
    const auto before = fleet.newest();
    fleet.join(2);
    fleet.agent(1).table = before;
    CHECK(send(1).reason == FlowReason::TableTooOld);
}

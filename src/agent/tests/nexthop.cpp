#include "agent/internal/nexthop.h"

#include "agent/tests/simulatedfleet.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::agent;

// clang-format off
TEST_GROUP(NextHop)
{
    SimulatedFleet fleet;
    dataplane::PacketView packet = ackPacket(testKey(1), 1, 1);

    void setup() override
    {
        for (std::uint32_t id = 1; id <= 4; ++id)
            fleet.addServer(id);
    }

    SentMessage forward(const fleet::FleetTable& senderTable, const fleet::FleetTable& table, bool searchEnded = false)
    {
        auto sent = fleet.messageTo(senderTable, packet, *senderTable.server(1));
        const FlowDecision decision { .action = FlowAction::Forward, .reason = FlowReason::NotHeld, .nextAgent = agentEndpoint(2), .nextServerId = 2, .nextIncarnation = 1, .searchEnded = searchEnded };
        addressNextHop(sent.message, packet, decision, fleet.agent(1).identity, table);
        return sent;
    }
};
// clang-format on

TEST(NextHop, IncrementsHopCountAndAddsVisitedServer)
{
    const auto sent = forward(*fleet.latestTable(), *fleet.latestTable());
    LONGS_EQUAL(1, sent.message.route->hops);
    LONGS_EQUAL(1, sent.message.visited.size());
    LONGS_EQUAL(1, sent.message.visited[0]);
    LONGS_EQUAL(2, sent.message.route->serverId);
    CHECK(sent.message.route->flags & dataplane::Route::forwardedByAgent);
}

TEST(NextHop, RaisesTableVersionButNeverLowersIt)
{
    const auto older = fleet.tableVersions[3];
    CHECK_EQUAL(fleet.latestTable()->version(), forward(*older, *fleet.latestTable()).message.route->tableVersion);
    CHECK_EQUAL(fleet.latestTable()->version(), forward(*fleet.latestTable(), *older).message.route->tableVersion);
}

TEST(NextHop, ListsReachableUnvisitedServersAsCandidates)
{
    fleet.setZoneOut("zone0", true);
    const auto sent = forward(*fleet.latestTable(), *fleet.latestTable());
    LONGS_EQUAL(1, sent.message.candidates.size());
    LONGS_EQUAL(4, sent.message.candidates[0].serverId);
}

TEST(NextHop, StaleTableListsNoCandidates)
{
    LONGS_EQUAL(0, forward(*fleet.latestTable(), *fleet.tableVersions[3]).message.candidates.size());
}

TEST(NextHop, ClearsVisitedListWhenSearchEnds)
{
    const auto sent = forward(*fleet.latestTable(), *fleet.latestTable(), true);
    LONGS_EQUAL(0, sent.message.visited.size());
    CHECK(sent.message.route->flags & dataplane::Route::searchEnded);
}

#include "agent/internal/nexthop.h"

#include "agent/tests/routedfleet.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::agent;

// clang-format off
TEST_GROUP(NextHop)
{
    RoutedFleet fleet;
    dataplane::PacketView packet = ackPacket(testKey(1), 1, 1);

    void setup() override
    {
        for (std::uint32_t id = 1; id <= 4; ++id)
            fleet.join(id);
    }

    SentMessage passOn(const fleet::FleetTable& sendersTable, const fleet::FleetTable& table, bool searchEnded = false)
    {
        auto sent = fleet.addressed(sendersTable, packet, *sendersTable.server(1));
        const FlowDecision decision { .action = FlowAction::PassOn, .reason = FlowReason::NotHeld, .nextAgent = agentEndpoint(2), .nextServerId = 2, .nextIncarnation = 1, .searchEnded = searchEnded };
        addressNextHop(sent.message, packet, decision, fleet.agent(1).identity, table);
        return sent;
    }
};
// clang-format on

TEST(NextHop, CountsTheHopAndTheVisit)
{
    const auto sent = passOn(*fleet.newest(), *fleet.newest());
    LONGS_EQUAL(1, sent.message.route->hops);
    LONGS_EQUAL(1, sent.message.visited.size());
    LONGS_EQUAL(1, sent.message.visited[0]);
    LONGS_EQUAL(2, sent.message.route->serverId);
    CHECK(sent.message.route->flags & dataplane::Route::passedOn);
}

TEST(NextHop, RaisesTheVersionToTheAgentsAndNeverLowersIt)
{
    const auto older = fleet.versions[3];
    CHECK_EQUAL(fleet.newest()->version(), passOn(*older, *fleet.newest()).message.route->tableVersion);
    CHECK_EQUAL(fleet.newest()->version(), passOn(*fleet.newest(), *older).message.route->tableVersion);
}

TEST(NextHop, NamesReachableServersThatWereNotAsked)
{
    fleet.setZoneOut("zone0", true);
    const auto sent = passOn(*fleet.newest(), *fleet.newest());
    LONGS_EQUAL(1, sent.message.candidates.size());
    LONGS_EQUAL(4, sent.message.candidates[0].serverId);
}

TEST(NextHop, AnOlderTableNamesNoCandidates)
{
    LONGS_EQUAL(0, passOn(*fleet.newest(), *fleet.versions[3]).message.candidates.size());
}

TEST(NextHop, AnEndedSearchStartsANewVisitedList)
{
    const auto sent = passOn(*fleet.newest(), *fleet.newest(), true);
    LONGS_EQUAL(0, sent.message.visited.size());
    CHECK(sent.message.route->flags & dataplane::Route::searchEnded);
}

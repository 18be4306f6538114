#include "passthrough/relayrouter.h"

#include "passthrough/tests/agentfixture.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::passthrough;

#define CHECK_DECISION(expectedAction, expectedReason, decision)               \
    do {                                                                       \
        const auto actual = (decision);                                        \
        STRCMP_EQUAL(name(expectedAction).data(), name(actual.action).data()); \
        STRCMP_EQUAL(name(expectedReason).data(), name(actual.reason).data()); \
    } while (false)

// clang-format off
TEST_GROUP(RelayRouter)
{
    AgentFixture agent { 1 };
};
// clang-format on

TEST(RelayRouter, AcceptsNewFlowWhenSlotIsFree)
{
    CHECK_DECISION(RelayAction::Open, RelayReason::Admitted, agent.decide(synPacket()));
    CHECK_DECISION(RelayAction::Deliver, RelayReason::SynRetransmission, agent.decide(synPacket(40001, 1)));
    LONGS_EQUAL(1, agent.load.outstanding());
}

TEST(RelayRouter, ForwardsNewFlowFromBusyServerWithinZoneFirst)
{
    agent.decide(synPacket(1));
    agent.decide(synPacket(2));
    const auto decision = agent.decide(synPacket(3));
    CHECK_DECISION(RelayAction::Forward, RelayReason::Busy, decision);
    LONGS_EQUAL(2, decision.nextServerId);
}

TEST(RelayRouter, LastServerQueuesNewFlowWhenDelayIsAcceptable)
{
    agent.decide(synPacket(1));
    agent.decide(synPacket(2));
    auto search = agent.search();
    search.visited = { 2, 3 };
    CHECK_DECISION(RelayAction::Open, RelayReason::AdmittedToQueue, agent.router.decide(search, synPacket(3), agent.view()));
}

// A burst exceeds the capacity of all servers.
TEST(RelayRouter, LastServerRejectsNewFlowWhenQueueingDelayExceedsLimit)
{
    auto search = agent.search();
    search.visited = { 2, 3 };
    int admitted = 0;
    auto decision = agent.router.decide(search, synPacket(1), agent.view());
    while (decision.action == RelayAction::Open && admitted < 1000)
        decision = agent.router.decide(search, synPacket(static_cast<std::uint16_t>(++admitted + 1)), agent.view());
    CHECK_DECISION(RelayAction::Reset, RelayReason::RejectedByAllServers, decision);
    // Two slots with 30 ms per request: a third of the route's timeout of 1 s corresponds to about 22 queued requests.
    CHECK(admitted > 15 && admitted < 30);
}

TEST(RelayRouter, AdmitsRetransmittedSynToFreeSlotButNotToQueue)
{
    auto search = agent.search();
    search.visited = { 2, 3 };
    CHECK_DECISION(RelayAction::Open, RelayReason::Admitted, agent.router.decide(search, synPacket(1, 2), agent.view()));
    CHECK_DECISION(RelayAction::Open, RelayReason::Admitted, agent.router.decide(search, synPacket(2), agent.view()));
    CHECK_DECISION(RelayAction::Reset, RelayReason::RejectedByAllServers, agent.router.decide(search, synPacket(3, 1), agent.view()));
    CHECK_DECISION(RelayAction::Open, RelayReason::AdmittedToQueue, agent.router.decide(search, synPacket(4), agent.view()));
}

TEST(RelayRouter, DrainingServerRejectsNewFlowsAndKeepsOpenFlows)
{
    agent.openFlow();
    agent.sendHeartbeat(true);
    CHECK_DECISION(RelayAction::Forward, RelayReason::Draining, agent.decide(synPacket(2)));
    CHECK_DECISION(RelayAction::Deliver, RelayReason::FlowHeld, agent.decide(callerPacket(5000, 10)));
}

TEST(RelayRouter, ServerInZoneThatIsOutRejectsNewFlowsAndKeepsOpenFlows)
{
    agent.openFlow();
    auto& zone = *agent.tables.table().add_zones();
    zone.set_name("mandaue");
    zone.set_state(schema::ZONE_STATE_OUT);
    agent.table = agent.tables.build();
    const auto decision = agent.decide(synPacket(2));
    CHECK_DECISION(RelayAction::Forward, RelayReason::ZoneOut, decision);
    LONGS_EQUAL(3, decision.nextServerId);
    CHECK_DECISION(RelayAction::Deliver, RelayReason::FlowHeld, agent.decide(callerPacket(5000)));
}

TEST(RelayRouter, LimitsRateOfNewFlowsToColdServer)
{
    agent.tables.table().mutable_services(0)->set_cold_flows_per_second(2);
    agent.table = agent.tables.build();
    agent.load.setSlots(100);
    agent.coldStartLimit.setColdFor(std::chrono::seconds(2));
    for (std::uint16_t port = 1; port <= 8; ++port)
        CHECK_DECISION(RelayAction::Open, RelayReason::Admitted, agent.decide(synPacket(port)));
    CHECK_DECISION(RelayAction::Forward, RelayReason::ColdStart, agent.decide(synPacket(9)));
    agent.clock.advance(std::chrono::milliseconds(1100));
    CHECK_DECISION(RelayAction::Open, RelayReason::Admitted, agent.decide(synPacket(9)));
}

TEST(RelayRouter, RejectsNewFlowForOtherServiceServerOrIncarnation)
{
    auto search = agent.search();
    search.route.serviceId = galleryService;
    search.route.tableVersion = agent.table->version() + 1;
    CHECK_DECISION(RelayAction::Forward, RelayReason::WrongTarget, agent.router.decide(search, synPacket(), agent.view()));
    search = agent.search();
    search.route.incarnation = 2;
    CHECK_DECISION(RelayAction::Forward, RelayReason::WrongTarget, agent.router.decide(search, synPacket(), agent.view()));
    search = agent.search();
    search.route.serverId = 9;
    CHECK_DECISION(RelayAction::Forward, RelayReason::WrongTarget, agent.router.decide(search, synPacket(), agent.view()));
}

TEST(RelayRouter, RejectsUnknownRouteUnlessSenderHasNewerTable)
{
    agent.tables.table().clear_routes();
    auto search = agent.search();
    agent.table = agent.tables.build();
    CHECK_DECISION(RelayAction::Reset, RelayReason::NoRoute, agent.router.decide(search, synPacket(), agent.view()));
    search.route.tableVersion = agent.table->version() + 1;
    CHECK_DECISION(RelayAction::Open, RelayReason::Admitted, agent.router.decide(search, synPacket(), agent.view()));
}

TEST(RelayRouter, UsesCurrentRouteTargetInsteadOfBalancersChoice)
{
    auto search = agent.search();
    agent.tables.table().mutable_routes(0)->mutable_targets(0)->set_service_id(galleryService);
    agent.table = agent.tables.build();
    const auto decision = agent.router.decide(search, synPacket(), agent.view());
    CHECK_DECISION(RelayAction::Forward, RelayReason::WrongTarget, decision);
    LONGS_EQUAL(4, decision.nextServerId);
    LONGS_EQUAL(galleryService, decision.nextServiceId);
}

TEST(RelayRouter, ForwardsUnknownFlowWhenAgentIsOlderThanAnyFlow)
{
    const auto decision = agent.decide(callerPacket(5000));
    CHECK_DECISION(RelayAction::Forward, RelayReason::NotHeld, decision);
    LONGS_EQUAL(2, decision.nextServerId);
}

TEST(RelayRouter, RestartedAgentProbesServerAndForwardsBouncedPackets)
{
    ManualClock clock;
    RelayRouter restarted({ .zone = "mandaue", .flows = agent.flows, .server = agent.server, .load = agent.load, .coldStartLimit = agent.coldStartLimit, .misses = agent.misses, .clock = clock });
    restarted.setServer(1, deskService);
    CHECK_DECISION(RelayAction::Probe, RelayReason::AgentRecentlyStarted, restarted.decide(agent.search(), callerPacket(5000), agent.view()));
    CHECK_DECISION(RelayAction::Forward, RelayReason::Bounced, restarted.decideBounced(agent.search(), callerPacket(5000), agent.view()));
    // The agent tracks a flow once the server sends a packet on it.
    agent.flows.recordServerPacket(serverPacket(5001, 100));
    CHECK_DECISION(RelayAction::Deliver, RelayReason::FlowHeld, restarted.decide(agent.search(), callerPacket(5100), agent.view()));
}

TEST(RelayRouter, ForwardsBouncedSynToNextServer)
{
    agent.decide(synPacket());
    const auto decision = agent.router.decideBounced(agent.search(), synPacket(), agent.view());
    CHECK_DECISION(RelayAction::Forward, RelayReason::Bounced, decision);
    LONGS_EQUAL(0, agent.load.outstanding());
    LONGS_EQUAL(0, agent.flows.size());
}

TEST(RelayRouter, OnlyServerWhoseSynAckIsAcknowledgedHoldsFlow)
{
    agent.decide(synPacket());
    agent.flows.recordServerPacket(synAckPacket(5000));
    CHECK_DECISION(RelayAction::Forward, RelayReason::NotHeld, agent.decide(callerPacket(900'000'000)));
    CHECK_DECISION(RelayAction::Deliver, RelayReason::FlowHeld, agent.decide(callerPacket(5000)));
}

TEST(RelayRouter, ResetsUnknownFlowOnlyAfterTableIsConfirmed)
{
    auto search = agent.search();
    search.visited = { 2, 3, 4 };
    CHECK_DECISION(RelayAction::Drop, RelayReason::TableUnconfirmed, agent.router.decide(search, callerPacket(5000), agent.view()));
    agent.confirmedAt = agent.clock.now() - std::chrono::milliseconds(1);
    CHECK_DECISION(RelayAction::Drop, RelayReason::TableUnconfirmed, agent.router.decide(search, callerPacket(5000), agent.view()));
    agent.clock.advance(std::chrono::milliseconds(5));
    agent.confirmedAt = agent.clock.now();
    CHECK_DECISION(RelayAction::Reset, RelayReason::HolderNotFound, agent.router.decide(search, callerPacket(5000), agent.view()));
    search.route.tableVersion = agent.table->version() + 1;
    CHECK_DECISION(RelayAction::Drop, RelayReason::TableStale, agent.router.decide(search, callerPacket(5000), agent.view()));
}

// All servers have restarted, so no server holds the callers' open flows.
TEST(RelayRouter, ConcludesSearchWithResetOnceLeaderHasConfirmedTable)
{
    auto search = agent.search();
    search.visited = { 2, 3, 4 };
    agent.router.decide(search, callerPacket(5000), agent.view());
    CHECK_DECISION(RelayAction::Drop, RelayReason::TableUnconfirmed, agent.router.concludeSearch(search, callerPacket(5000), agent.view()));
    agent.clock.advance(std::chrono::milliseconds(5));
    agent.confirmedAt = agent.clock.now();
    CHECK_DECISION(RelayAction::Reset, RelayReason::HolderNotFound, agent.router.concludeSearch(search, callerPacket(5000), agent.view()));
    // A server that was added since then was not visited.
    search.visited = { 2, 3 };
    CHECK_DECISION(RelayAction::Drop, RelayReason::TableUnconfirmed, agent.router.concludeSearch(search, callerPacket(5000), agent.view()));
}

TEST(RelayRouter, SearchesServicesThatAreNoLongerTargetsOfRoute)
{
    auto search = agent.search();
    search.visited = { 2, 3 };
    const auto decision = agent.router.decide(search, callerPacket(5000), agent.view());
    CHECK_DECISION(RelayAction::Forward, RelayReason::NotHeld, decision);
    LONGS_EQUAL(4, decision.nextServerId);
}

TEST(RelayRouter, ResetsFlowsOfDeadServerAndForwardsNewFlows)
{
    agent.openFlow();
    agent.clock.advance(4 * testHeartbeatInterval);
    CHECK_DECISION(RelayAction::Reset, RelayReason::ServerDead, agent.decide(callerPacket(5000)));
    CHECK_DECISION(RelayAction::Forward, RelayReason::ServerSilent, agent.decide(synPacket(2)));
}

TEST(RelayRouter, AgentThatIsShuttingDownRejectsNewFlows)
{
    agent.router.setShuttingDown(true);
    CHECK_DECISION(RelayAction::Forward, RelayReason::Draining, agent.decide(synPacket()));
}

TEST(RelayRouter, RestartedAgentDoesNotProbeSilentServer)
{
    ManualClock clock;
    LocalServer silentServer(clock, testHeartbeatInterval);
    RelayRouter restarted({ .zone = "mandaue", .flows = agent.flows, .server = silentServer, .load = agent.load, .coldStartLimit = agent.coldStartLimit, .misses = agent.misses, .clock = clock });
    restarted.setServer(1, deskService);
    silentServer.expectHeartbeat("server-1", false);
    CHECK_DECISION(RelayAction::Probe, RelayReason::AgentRecentlyStarted, restarted.decide(agent.search(), callerPacket(5000), agent.view()));
    clock.advance(4 * testHeartbeatInterval);
    CHECK_DECISION(RelayAction::Forward, RelayReason::NotHeld, restarted.decide(agent.search(), callerPacket(5000), agent.view()));
    CHECK_DECISION(RelayAction::Forward, RelayReason::ServerSilent, restarted.decide(agent.search(), synPacket(2), agent.view()));
}

// VMs were removed permanently, but their servers are still in the table that a search uses.
TEST(RelayRouter, VisitsSilentServersLast)
{
    agent.tables.server(2).set_state(schema::SERVER_STATE_SILENT);
    agent.table = agent.tables.build();
    auto search = agent.search();
    std::vector<std::uint32_t> visited;
    for (int hop = 0; hop < 3; ++hop) {
        const auto decision = agent.router.decide(search, callerPacket(5000), agent.view());
        CHECK(decision.action == RelayAction::Forward);
        visited.push_back(decision.nextServerId);
        search.visited.push_back(decision.nextServerId);
    }
    LONGS_EQUAL(2, visited.back());
}

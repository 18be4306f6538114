#include "passthrough/waitingopenings.h"

#include "passthrough/tests/waitingagent.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::passthrough;

// clang-format off
TEST_GROUP(WaitingOpenings)
{
    WaitingAgent agent;

    void setup() override { agent.fill(); }
};
// clang-format on

// A burst must not fill the server's queue, where priorities do not count.
TEST(WaitingOpenings, HeldSynIsDeliveredWhenRequestEnds)
{
    CHECK_DECISION(RelayAction::Wait, RelayReason::WaitsForSlot, agent.decideLast(synPacket(1)));
    CHECK(agent.release().empty());
    LONGS_EQUAL(0, agent.flows.find(testFlow(1)) ? 1 : 0);
    agent.finishOne();
    CHECK(agent.waitingRouter.mayRelease());
    agent.checkReleasesOne(RelayAction::Open, RelayReason::AdmittedAfterWait);
    CHECK(agent.flows.find(testFlow(1)));
}

// The caller retransmits its SYN after 200 ms, so a SYN that is held longer adds to the load.
TEST(WaitingOpenings, HeldSynIsResetAfterThirdOfLatencyTarget)
{
    agent.decideLast(synPacket(1));
    agent.clock.advance(std::chrono::milliseconds(99));
    CHECK(agent.release().empty());
    agent.clock.advance(std::chrono::milliseconds(1));
    agent.checkReleasesOne(RelayAction::Reset, RelayReason::WaitExpired);
}

// The agent's VM was suspended while a SYN waited. The caller's next copy may have reached another server, so a reset could be
// false.
TEST(WaitingOpenings, OverdueSynIsDropped)
{
    agent.decideLast(synPacket(1));
    agent.clock.advance(std::chrono::milliseconds(200));
    agent.checkReleasesOne(RelayAction::Drop, RelayReason::WaitExpired);
}

// A second copy of a waiting SYN must not take a second place in the queue, and must not be reset while the first one waits.
TEST(WaitingOpenings, RetransmissionOfWaitingSynIsDropped)
{
    agent.decideLast(synPacket(1));
    CHECK_DECISION(RelayAction::Drop, RelayReason::AlreadyWaiting, agent.decideLast(synPacket(1, 1)));
    LONGS_EQUAL(1, agent.waiting.size());
}

// A server that was not visited may have received the first copy, so a reset could be for a flow that was delivered.
TEST(WaitingOpenings, RetransmissionIsResetOnlyAfterAllServersWereVisited)
{
    CHECK_DECISION(RelayAction::Reset, RelayReason::RejectedByAllServers, agent.decideLast(synPacket(1, 1)));
    auto search = agent.search();
    search.visited = { 21, 22, 23, 24, 25, 26, 27 };
    CHECK_DECISION(RelayAction::Drop, RelayReason::RetransmissionNotPlaced, agent.waitingRouter.decide(search, synPacket(2, 1), agent.view()));
    CHECK_DECISION(RelayAction::Wait, RelayReason::WaitsForSlot, agent.waitingRouter.decide(search, synPacket(2), agent.view()));
}

// The walk of a rejected SYN visited up to 30 agents.
TEST(WaitingOpenings, SearchAsksFourServersForSlotAndEightForRoom)
{
    auto search = agent.search();
    CHECK_DECISION(RelayAction::Forward, RelayReason::Busy, agent.waitingRouter.decide(search, synPacket(1), agent.view()));
    search.visited = { 21, 22, 23 };
    auto decision = agent.waitingRouter.decide(search, synPacket(1), agent.view());
    for (std::uint16_t port = 2; decision.action == RelayAction::Wait && port < 100; ++port)
        decision = agent.waitingRouter.decide(search, synPacket(port), agent.view());
    CHECK_DECISION(RelayAction::Forward, RelayReason::Busy, decision);
    search.visited = { 21, 22, 23, 24, 25, 26, 27 };
    CHECK_DECISION(RelayAction::Reset, RelayReason::RejectedByAllServers, agent.waitingRouter.decide(search, synPacket(100), agent.view()));
    CHECK(agent.release().empty());
}

// The agent drains while a SYN waits.
TEST(WaitingOpenings, DrainForwardsHeldSynAtOnce)
{
    agent.waitingRouter.decide(agent.lastSearch(), synPacket(1), agent.view());
    auto search = agent.search();
    search.visited = { 21, 22, 23 };
    agent.waitingRouter.decide(search, synPacket(2), agent.view());
    agent.sendHeartbeat(true);
    const auto released = agent.release();
    LONGS_EQUAL(2, released.size());
    CHECK_DECISION(RelayAction::Reset, RelayReason::RejectedByAllServers, released[0].decision);
    CHECK_DECISION(RelayAction::Forward, RelayReason::Draining, released[1].decision);
    LONGS_EQUAL(0, agent.flows.find(testFlow(1)) ? 1 : 0);
}

// The server ends while a SYN waits; the SYN must not be delivered to the next instance unchecked.
TEST(WaitingOpenings, EndOfServerForwardsHeldSyn)
{
    auto search = agent.search();
    search.visited = { 21, 22, 23 };
    agent.waitingRouter.decide(search, synPacket(1), agent.view());
    agent.server.markShutDown("server-1");
    agent.checkReleasesOne(RelayAction::Forward, RelayReason::NoServer);
}

// The server stops responding while a SYN waits.
TEST(WaitingOpenings, HeldSynIsNotDeliveredToSilentServer)
{
    auto search = agent.search();
    search.visited = { 21, 22, 23 };
    agent.clock.advance(3 * testHeartbeatInterval);
    agent.waitingRouter.decide(search, synPacket(1), agent.view());
    agent.clock.advance(std::chrono::milliseconds(1));
    agent.finishOne();
    agent.checkReleasesOne(RelayAction::Forward, RelayReason::ServerSilent);
}

// The table changes while a SYN waits: the zone is taken out, the server is registered again, the route gets another target or
// is removed.
TEST(WaitingOpenings, TableIsCheckedAgainBeforeDelivery)
{
    auto search = agent.search();
    search.visited = { 21, 22, 23 };
    const auto original = agent.tables;
    const auto releasedAfter = [&](const auto& change) {
        agent.tables = original;
        agent.table = agent.tables.build();
        agent.waitingRouter.decide(search, synPacket(1), agent.view());
        LONGS_EQUAL(1, agent.waiting.size());
        change(agent.tables);
        agent.table = agent.tables.build();
        agent.finishOne(++agent.finished);
        auto released = agent.release();
        LONGS_EQUAL(1, released.size());
        agent.fill();
        return released[0].decision;
    };
    CHECK_DECISION(RelayAction::Forward, RelayReason::WrongTarget, releasedAfter([](TestTable& tables) { tables.server(1).set_incarnation(2); }));
    CHECK_DECISION(RelayAction::Forward, RelayReason::WrongTarget, releasedAfter([](TestTable& tables) { tables.table().mutable_routes(0)->mutable_targets(0)->set_service_id(galleryService); }));
    CHECK_DECISION(RelayAction::Reset, RelayReason::NoRoute, releasedAfter([](TestTable& tables) { tables.table().clear_routes(); }));
}

// A cold server must not receive SYNs above its rate, even if they have waited.
TEST(WaitingOpenings, ColdLimitIsCheckedAgainBeforeDelivery)
{
    auto search = agent.search();
    search.visited = { 21, 22, 23 };
    agent.waitingRouter.decide(search, synPacket(1), agent.view());
    agent.tables.table().mutable_services(0)->set_cold_flows_per_second(1);
    agent.table = agent.tables.build();
    agent.coldStartLimit.setColdFor(std::chrono::seconds(5));
    for (int flow = 0; flow < 20; ++flow)
        agent.coldStartLimit.recordFlow();
    agent.finishOne();
    agent.checkReleasesOne(RelayAction::Forward, RelayReason::ColdStart);
}

// The server bounces a SYN that has waited: it has not run, so it goes on to another server.
TEST(WaitingOpenings, BouncedSynIsForwarded)
{
    auto search = agent.search();
    search.visited = { 21, 22, 23 };
    agent.waitingRouter.decide(search, synPacket(1), agent.view());
    agent.finishOne();
    agent.checkReleasesOne(RelayAction::Open, RelayReason::AdmittedAfterWait);
    CHECK_DECISION(RelayAction::Forward, RelayReason::Bounced, agent.waitingRouter.decideBounced(search, synPacket(1), agent.view()));
    search.visited = { 21, 22, 23, 24, 25, 26, 27 };
    CHECK_DECISION(RelayAction::Reset, RelayReason::RejectedByAllServers, agent.waitingRouter.decideBounced(search, synPacket(1), agent.view()));
}

// A SYN that waited at two agents would still wait when its caller sends the next copy, whose flow its reset could then hit.
TEST(WaitingOpenings, SynWaitsAtOneAgentOnly)
{
    auto search = agent.search();
    search.visited = { 21, 22, 23 };
    agent.waitingRouter.decide(search, synPacket(1), agent.view());
    agent.sendHeartbeat(true);
    const auto released = agent.release();
    agent.replaceServerProcess();
    LONGS_EQUAL(1, released.size());
    CHECK_DECISION(RelayAction::Forward, RelayReason::Busy, agent.waitingRouter.decide(released[0].opening.search, synPacket(1), agent.view()));
    CHECK(agent.waiting.empty());
}

// A burst of a low priority keeps the queue full when a request of a higher priority arrives.
TEST(WaitingOpenings, HigherPriorityDisplacesLower)
{
    std::uint16_t port = 1;
    while (agent.decideLast(synPacket(port)).action == RelayAction::Wait)
        ++port;
    agent.tables.table().mutable_routes(0)->set_priority(1);
    agent.table = agent.tables.build();
    CHECK_DECISION(RelayAction::Wait, RelayReason::WaitsForSlot, agent.decideLast(synPacket(500)));
    agent.checkDisplacesOneOf(port);
    agent.finishOne();
    const auto released = agent.release();
    LONGS_EQUAL(1, released.size());
    LONGS_EQUAL(500, released[0].opening.packet.key.caller.port);
}

// Callers moved to a zone whose servers are all busy, while those of other zones were free.
TEST(WaitingOpenings, SearchGoesOnToAnotherZoneAfterTwoServers)
{
    for (std::uint32_t id = 5; id <= 9; ++id) {
        *agent.tables.table().add_servers() = agent.tables.server(2);
        agent.tables.server(id).set_id(id);
    }
    agent.table = agent.tables.build();
    auto search = agent.search();
    auto decision = agent.waitingRouter.decide(search, synPacket(1), agent.view());
    STRCMP_EQUAL("mandaue", agent.table->server(decision.nextServerId)->zone.c_str());
    search.visited = { decision.nextServerId };
    decision = agent.waitingRouter.decide(search, synPacket(1), agent.view());
    LONGS_EQUAL(3, decision.nextServerId);
    // Bytes between zones cost, so a download asks all servers of the zone first.
    agent.tables.table().mutable_routes(0)->set_kind(schema::REQUEST_KIND_DOWNLOAD);
    agent.table = agent.tables.build();
    decision = agent.waitingRouter.decide(search, synPacket(1), agent.view());
    STRCMP_EQUAL("mandaue", agent.table->server(decision.nextServerId)->zone.c_str());
}

// A server that resets its requests always has free slots and would attract the load of the others.
TEST(WaitingOpenings, FailingServerForwardsNewFlowsExceptProbes)
{
    agent.finishOne(101);
    agent.finishOne(102);
    agent.finishOne(103);
    for (std::uint16_t port = 200; port < 209; ++port) {
        agent.openFlow(port);
        agent.flows.recordCallerPacket(callerPacket(5000, 100, 1001, port));
        auto serverReset = serverPacket(5001, 0, port);
        serverReset.rst = true;
        agent.flows.recordServerPacket(serverReset);
    }
    CHECK(agent.failures.failing());
    CHECK_DECISION(RelayAction::Open, RelayReason::Admitted, agent.waitingRouter.decide(agent.search(), synPacket(1), agent.view()));
    CHECK_DECISION(RelayAction::Forward, RelayReason::ServerFailing, agent.waitingRouter.decide(agent.search(), synPacket(2), agent.view()));
    // The last server that can be asked still accepts the flow.
    CHECK_DECISION(RelayAction::Open, RelayReason::Admitted, agent.decideLast(synPacket(3)));
    agent.finishOne(1);
    agent.clock.advance(std::chrono::milliseconds(200));
    CHECK_DECISION(RelayAction::Open, RelayReason::Admitted, agent.waitingRouter.decide(agent.search(), synPacket(4), agent.view()));
}

// Flows whose SYN the server bounced, or whose caller never sent a request, say nothing about the server.
TEST(WaitingOpenings, BouncedAndUnusedFlowsAreNoFailures)
{
    for (std::uint16_t port = 200; port < 232; ++port) {
        agent.flows.open(synPacket(port));
        if (port % 2 == 0) {
            agent.flows.erase(testFlow(port));
            continue;
        }
        auto callerReset = callerPacket(5000, 0, 1001, port);
        callerReset.rst = true;
        agent.flows.recordCallerPacket(callerReset);
    }
    CHECK_FALSE(agent.failures.failing());
}

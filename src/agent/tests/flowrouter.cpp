#include "agent/internal/flowrouter.h"

#include "agent/tests/routedfleet.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::agent;

namespace {

constexpr std::uint32_t callerSequence = 5000;
constexpr std::uint32_t ownSequence = 900000;

} // namespace

// clang-format off
TEST_GROUP(FlowRouter)
{
    RoutedFleet fleet;
    fleet::FlowKey key = testKey(1);

    void joinServers(std::uint32_t count)
    {
        for (std::uint32_t id = 1; id <= count; ++id)
            fleet.join(id);
        fleet.spread();
    }

    fleet::ServerEntry rankedServer(std::size_t place) { return RoutedFleet::ranked(*fleet.newest(), key)[place]; }

    // Opens the flow at the server and completes the handshake.
    RoutedAgent& establishAt(std::uint32_t serverId)
    {
        auto& agent = fleet.agent(serverId);
        auto syn = fleet.addressed(*fleet.newest(), synPacket(key, callerSequence), *fleet.newest()->server(serverId));
        CHECK(fleet.step(syn)->action == FlowAction::Open);
        sendSynAck(agent, key, ownSequence);
        auto ack = fleet.addressed(*fleet.newest(), ackPacket(key, callerSequence + 1, ownSequence + 1), *fleet.newest()->server(serverId));
        CHECK(fleet.step(ack)->action == FlowAction::Deliver);
        agent.flows.find(key)->served = true;
        return agent;
    }

    dataplane::PacketView data() const { return ackPacket(key, callerSequence + 1, ownSequence + 1, 100); }

    FlowDecision send(const fleet::FleetTable& table, const dataplane::PacketView& packet)
    {
        last = *fleet.fromBalancer(table, packet);
        return fleet.follow(last);
    }

    // The server at which the last packet sent ended.
    std::uint32_t lastServer() { return fleet.agents.at(last.target.address)->identity.serverId; }

    SentMessage last;
};
// clang-format on

TEST(FlowRouter, RepeatedSynAtASecondAgentLeavesTheAckToTheFirst) // Hazard 1.
{
    joinServers(4);
    const auto first = rankedServer(1).id;
    const auto second = rankedServer(0).id;
    auto syn = fleet.addressed(*fleet.newest(), synPacket(key, callerSequence), rankedServer(1));
    CHECK(fleet.step(syn)->action == FlowAction::Open);
    sendSynAck(fleet.agent(first), key, ownSequence);
    auto again = fleet.addressed(*fleet.newest(), synPacket(key, callerSequence), rankedServer(0));
    CHECK(fleet.step(again)->action == FlowAction::Open);
    sendSynAck(fleet.agent(second), key, ownSequence + 77777);
    const auto decision = send(*fleet.newest(), ackPacket(key, callerSequence + 1, ownSequence + 1));
    CHECK(decision.action == FlowAction::Deliver);
    LONGS_EQUAL(first, lastServer());
    // The second agent's own half-open entry never became a flow.
    CHECK(fleet.agent(second).flows.find(key)->state == FlowState::HalfOpen);
}

TEST(FlowRouter, ALostSynAckIsSentAgainByItsOwner) // Hazard 1.
{
    joinServers(3);
    auto syn = fleet.addressed(*fleet.newest(), synPacket(key, callerSequence), rankedServer(0));
    CHECK(fleet.step(syn)->action == FlowAction::Open);
    CHECK(send(*fleet.newest(), synPacket(key, callerSequence)).reason == FlowReason::RepeatedSyn);
    LONGS_EQUAL(1, fleet.agent(rankedServer(0).id).admission.flows);
}

TEST(FlowRouter, ServerThatCameBackColdPassesOnFlowsHeldElsewhere) // Hazard 2.
{
    joinServers(4);
    const auto first = rankedServer(0).id;
    fleet.setDraining(first, true);
    fleet.spread();
    const auto holder = rankedServer(1).id;
    establishAt(holder);
    fleet.join(first);
    fleet.spread();
    LONGS_EQUAL(first, rankedServer(0).id);
    const auto decision = send(*fleet.newest(), data());
    CHECK(decision.reason == FlowReason::Held);
    LONGS_EQUAL(holder, lastServer());
}

TEST(FlowRouter, FlowSurvivesMixedTableVersionsInBothOrders) // Hazard 3.
{
    joinServers(3);
    const auto before = fleet.newest();
    fleet.join(4);
    const auto after = fleet.newest();
    establishAt(4);
    // Behind balancer, behind agents: nobody asked knows the holder, and nobody may answer for it.
    for (int attempt = 0; attempt < 20; ++attempt) {
        CHECK(send(*before, data()).action == FlowAction::Drop);
        fleet.advance(std::chrono::seconds(5));
    }
    // New balancer, behind agents.
    const auto newer = send(*after, data());
    CHECK(newer.action == FlowAction::Deliver || newer.reason == FlowReason::TableTooOld);
    // Behind balancer, one agent ahead: it names the holder to those behind.
    fleet.agent(RoutedFleet::ranked(*before, key)[0].id).table = after;
    CHECK(send(*before, data()).action == FlowAction::Deliver);
    LONGS_EQUAL(4, lastServer());
}

TEST(FlowRouter, AgentBehindBothKeepsSilent) // Hazard 3.
{
    joinServers(1);
    const auto behind = fleet.agent(1).table;
    fleet.join(2);
    establishAt(2);
    CHECK(fleet.agent(1).table == behind);
    auto sent = fleet.addressed(*fleet.newest(), data(), *fleet.newest()->server(1));
    const auto decision = fleet.step(sent);
    CHECK(decision->action == FlowAction::Drop);
    CHECK(decision->reason == FlowReason::TableTooOld);
}

TEST(FlowRouter, TwoChangesOfMembershipOverlap) // Hazard 4.
{
    joinServers(3);
    const auto holder = rankedServer(1).id;
    establishAt(holder);
    fleet.setDraining(holder, true);
    const auto first = fleet.newest();
    fleet.join(4);
    fleet.join(5);
    // Agents 1 to 3 on the version before both, balancer on the one between, agents 4 and 5 on later ones.
    for (const auto& table : fleet.versions) {
        if (table->version() < first->version() - 1)
            continue;
        CHECK(send(*table, data()).action == FlowAction::Deliver);
        LONGS_EQUAL(holder, lastServer());
    }
    fleet.spread();
    CHECK(send(*first, data()).action == FlowAction::Deliver);
    LONGS_EQUAL(holder, lastServer());
}

TEST(FlowRouter, APacketForADeadIncarnationGoesOnAlongTheChain) // Hazard 5.
{
    joinServers(3);
    const auto restarted = rankedServer(0);
    const auto holder = rankedServer(1).id;
    establishAt(holder);
    fleet.join(restarted.id);
    fleet.spread();
    auto sent = fleet.addressed(*fleet.newest(), data(), restarted);
    CHECK(fleet.follow(sent).action == FlowAction::Deliver);
    LONGS_EQUAL(holder, fleet.agents.at(sent.target.address)->identity.serverId);
}

TEST(FlowRouter, AFlowOfTheNewIncarnationIsFoundUnderTheOldAddress) // Hazard 5.
{
    joinServers(3);
    const auto old = rankedServer(0);
    fleet.join(old.id);
    establishAt(old.id);
    auto sent = fleet.addressed(*fleet.newest(), data(), old);
    CHECK(fleet.step(sent)->reason == FlowReason::HeldDespiteAddress);
}

TEST(FlowRouter, ASynForADeadIncarnationOpensNothingThere) // Hazard 5.
{
    joinServers(2);
    const auto old = rankedServer(0);
    fleet.join(old.id);
    fleet.spread();
    auto sent = fleet.addressed(*fleet.newest(), synPacket(key, callerSequence), old);
    CHECK(fleet.step(sent)->action == FlowAction::PassOn);
    LONGS_EQUAL(0, fleet.agent(old.id).admission.flows);
}

TEST(FlowRouter, ChainsEndBetweenTwoStaleTables) // Hazard 6.
{
    joinServers(40);
    // Each agent has a table of its own age.
    for (std::uint32_t id = 1; id <= 40; ++id)
        fleet.agent(id).table = fleet.versions[id];
    auto sent = *fleet.fromBalancer(*fleet.newest(), data());
    int hops = 0;
    while (fleet.step(sent)->action == FlowAction::PassOn)
        CHECK(++hops <= 30);
}

TEST(FlowRouter, TheHopLimitEndsAChainWhoseVisitedListWasCut) // Hazard 6.
{
    joinServers(3);
    auto sent = *fleet.fromBalancer(*fleet.newest(), data());
    sent.message.route->hops = 30;
    CHECK(fleet.step(sent)->reason == FlowReason::TooManyHops);
    // The holder takes its packet whatever way it came.
    establishAt(sent.message.route->serverId);
    CHECK(fleet.step(sent)->action == FlowAction::Deliver);
}

TEST(FlowRouter, OldAndNewAgentOfOneVmBothAnswerTheChain) // Hazard 8.
{
    joinServers(3);
    const auto old = rankedServer(0).id;
    establishAt(old);
    // The new process registers under a name of its own beside the old one, which leaves.
    fleet.agent(old).router.setLeaving(true);
    fleet.join(4);
    fleet.spread();
    CHECK(send(*fleet.newest(), data()).action == FlowAction::Deliver);
    LONGS_EQUAL(old, lastServer());
    auto syn = fleet.addressed(*fleet.newest(), synPacket(testKey(2), callerSequence), *fleet.newest()->server(old));
    CHECK(fleet.step(syn)->action == FlowAction::PassOn);
    LONGS_EQUAL(1, fleet.agent(old).admission.flows);
    fleet.setDraining(old, true);
    fleet.spread();
    CHECK(send(*fleet.newest(), data()).action == FlowAction::Deliver);
    LONGS_EQUAL(old, lastServer());
}

TEST(FlowRouter, TwoAgentsThatRankEachOtherNextReachTheThird) // Hazard 9.
{
    joinServers(2);
    const auto two = fleet.newest();
    fleet.join(3);
    establishAt(3);
    fleet.agent(1).table = two;
    fleet.agent(2).table = two;
    // The sender knows the third; the two others know each other only.
    for (const std::uint32_t first : { 1U, 2U }) {
        auto sent = fleet.addressed(*fleet.newest(), data(), *fleet.newest()->server(first));
        sent.message.candidates.push_back({ .serverId = 3, .incarnation = 1, .agent = agentEndpoint(3) });
        CHECK(fleet.follow(sent).action == FlowAction::Deliver);
        LONGS_EQUAL(3, fleet.agents.at(sent.target.address)->identity.serverId);
        LONGS_EQUAL(2, sent.message.route->hops);
    }
}

TEST(FlowRouter, CallersCannotChooseTheRankWithoutTheSeed) // Hazard 10.
{
    joinServers(8);
    int differing = 0;
    auto other = fleet.schema;
    other.set_hash_seed(12);
    const fleet::FleetTable reseeded(other);
    for (std::uint32_t caller = 0; caller < 64; ++caller)
        differing += RoutedFleet::ranked(*fleet.newest(), testKey(caller))[0].id != RoutedFleet::ranked(reseeded, testKey(caller))[0].id;
    CHECK(differing > 32);
}

TEST(FlowRouter, ResetWaitsForAConfirmationFromAfterTheFirstMiss)
{
    joinServers(3);
    CHECK(send(*fleet.newest(), data()).reason == FlowReason::TableUnconfirmed);
    fleet.advance(std::chrono::seconds(1));
    CHECK(send(*fleet.newest(), data()).reason == FlowReason::TableUnconfirmed);
    fleet.advance(std::chrono::seconds(1));
    const auto decision = send(*fleet.newest(), data());
    CHECK(decision.action == FlowAction::Reset);
    CHECK(decision.reason == FlowReason::HeldByNobody);
}

TEST(FlowRouter, AResetOfAnUnknownFlowEndsSilently)
{
    joinServers(3);
    auto reset = data();
    reset.tcpFlags = dataplane::TcpFlags::rst;
    CHECK(send(*fleet.newest(), reset).reason == FlowReason::ResetNotHeld);
    LONGS_EQUAL(2, last.message.route->hops);
}

TEST(FlowRouter, ALargeServiceIsNotSearchedToItsEndAndKeepsSilent)
{
    joinServers(31);
    fleet.advance(std::chrono::seconds(10));
    for (int attempt = 0; attempt < 3; ++attempt) {
        const auto decision = send(*fleet.newest(), data());
        CHECK(decision.action == FlowAction::Drop);
        fleet.advance(std::chrono::seconds(10));
    }
}

TEST(FlowRouter, AServiceThatOneChainCanSearchGetsItsReset)
{
    joinServers(30);
    CHECK(send(*fleet.newest(), data()).reason == FlowReason::TableUnconfirmed);
    fleet.advance(std::chrono::seconds(3));
    CHECK(send(*fleet.newest(), data()).action == FlowAction::Reset);
}

TEST(FlowRouter, AnAgentThatIsNotInItsOwnTableServesAndPassesOn)
{
    joinServers(2);
    const auto before = fleet.newest();
    auto& late = fleet.join(3);
    late.table = before;
    establishAt(3);
    key = testKey(2);
    auto sent = fleet.addressed(*fleet.newest(), data(), *fleet.newest()->server(3));
    CHECK(fleet.step(sent)->action == FlowAction::PassOn);
}

TEST(FlowRouter, AnotherServicesPacketIsRefused)
{
    joinServers(1);
    auto sent = *fleet.fromBalancer(*fleet.newest(), synPacket(key, callerSequence));
    auto wrongNetwork = sent;
    wrongNetwork.message.serviceId = 8;
    CHECK(fleet.step(wrongNetwork)->reason == FlowReason::WrongService);
    auto wrongRoute = sent;
    wrongRoute.message.route->serviceId = 8;
    CHECK(fleet.step(wrongRoute)->reason == FlowReason::WrongService);
    auto wrongDestination = sent;
    ++wrongDestination.packet.key.service.address;
    CHECK(fleet.step(wrongDestination)->reason == FlowReason::WrongService);
    auto wrongProtocol = sent;
    wrongProtocol.packet.key.protocol = fleet::TransportProtocol::Udp;
    CHECK(fleet.step(wrongProtocol)->reason == FlowReason::WrongService);
    LONGS_EQUAL(0, fleet.agent(1).admission.flows);
}

TEST(FlowRouter, AnAgentWhoseZoneIsOutTakesNothing)
{
    joinServers(2);
    auto& agent = establishAt(1);
    fleet.setZoneOut("zone1", true);
    fleet.spread();
    auto sent = fleet.addressed(*fleet.newest(), data(), *fleet.newest()->server(1));
    CHECK(fleet.step(sent)->reason == FlowReason::ZoneOut);
    CHECK(agent.flows.find(key));
}

TEST(FlowRouter, DrainingByTheTableAndResuming)
{
    joinServers(2);
    fleet.setDraining(1, true);
    fleet.spread();
    auto syn = fleet.addressed(*fleet.newest(), synPacket(key, callerSequence), *fleet.newest()->server(1));
    CHECK(fleet.step(syn)->reason == FlowReason::NotAdmitted);
    fleet.setDraining(1, false);
    fleet.spread();
    syn = fleet.addressed(*fleet.newest(), synPacket(key, callerSequence), *fleet.newest()->server(1));
    CHECK(fleet.step(syn)->action == FlowAction::Open);
}

#include "agent/internal/flowrouter.h"

#include "agent/tests/simulatedfleet.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::agent;

namespace {

constexpr std::uint32_t callerSequence = 5000;
constexpr std::uint32_t ownSequence = 900000;

} // namespace

// clang-format off
TEST_GROUP(FlowRouterOpening)
{
    SimulatedFleet fleet;
    fleet::FlowKey key = testKey(1);

    FlowDecision send(const dataplane::PacketView& packet)
    {
        auto sent = fleet.messageTo(*fleet.latestTable(), packet, *fleet.latestTable()->server(1));
        return *fleet.processAtTarget(sent);
    }

    SimulatedAgent& agent() { return fleet.agent(1); }

    void establish()
    {
        CHECK(send(synPacket(key, callerSequence)).action == FlowAction::Open);
        sendSynAck(agent(), key, ownSequence);
        CHECK(send(ackPacket(key, callerSequence + 1, ownSequence + 1)).action == FlowAction::Deliver);
        agent().flows.find(key)->served = true;
    }

    // Ends the flow as the task that serves it does.
    void end()
    {
        agent().flows.setState(key, FlowState::Closing);
        agent().admission.releaseFlow();
    }
};
// clang-format on

TEST(FlowRouterOpening, OpensNewFlowOnReusedPort)
{
    fleet.addServer(1);
    establish();
    end();
    const auto decision = send(synPacket(key, callerSequence + 300000));
    CHECK(decision.action == FlowAction::Open);
    CHECK(decision.reason == FlowReason::PortReused);
    LONGS_EQUAL(1, decision.connectionsToForget.size());
    CHECK(decision.connectionsToForget[0] == key);
    LONGS_EQUAL(1, agent().admission.flows);
}

TEST(FlowRouterOpening, DropsDelayedDuplicateSynOfClosedFlow)
{
    fleet.addServer(1);
    establish();
    end();
    CHECK(send(synPacket(key, callerSequence)).reason == FlowReason::StaleSyn);
    LONGS_EQUAL(0, agent().admission.flows);
}

TEST(FlowRouterOpening, SynWithNewSequenceReplacesHalfOpenFlow)
{
    fleet.addServer(1);
    CHECK(send(synPacket(key, callerSequence)).action == FlowAction::Open);
    sendSynAck(agent(), key, ownSequence);
    const auto decision = send(synPacket(key, callerSequence + 9));
    CHECK(decision.reason == FlowReason::PortReused);
    CHECK(decision.connectionsToForget.front() == key);
    LONGS_EQUAL(1, agent().admission.flows);
    LONGS_EQUAL(1, agent().flows.halfOpenFlowCount());
    // The ACK of the first attempt belongs to no flow.
    CHECK(send(ackPacket(key, callerSequence + 1, ownSequence + 1)).action != FlowAction::Deliver);
}

TEST(FlowRouterOpening, DeliversSynOfEstablishedFlowToStack)
{
    fleet.addServer(1);
    establish();
    CHECK(send(synPacket(key, callerSequence + 5000000)).reason == FlowReason::SynRetransmission);
    LONGS_EQUAL(1, agent().admission.flows);
}

TEST(FlowRouterOpening, DeliversDelayedPacketOfClosedFlowToStack)
{
    fleet.addServer(1);
    establish();
    end();
    CHECK(send(ackPacket(key, callerSequence + 1, ownSequence + 1)).action == FlowAction::Deliver);
}

TEST(FlowRouterOpening, ClosedFlowDoesNotMatchPacketOfLaterFlow)
{
    fleet.addServer(1);
    establish();
    end();
    CHECK(send(ackPacket(key, callerSequence + 0x20000000, ownSequence + 0x30000000)).action != FlowAction::Deliver);
}

TEST(FlowRouterOpening, StaleEstablishedFlowDoesNotMatchPacketOfLaterFlow)
{
    fleet.addServer(1);
    establish();
    CHECK(send(ackPacket(key, callerSequence + 0x20000000, ownSequence + 0x30000000)).action != FlowAction::Deliver);
}

TEST(FlowRouterOpening, ResetOfHalfOpenFlowReleasesAdmissionOnce)
{
    fleet.addServer(1);
    send(synPacket(key, callerSequence));
    sendSynAck(agent(), key, ownSequence);
    auto forged = synPacket(key, callerSequence + 2);
    forged.tcpFlags = dataplane::TcpFlags::rst;
    CHECK(send(forged).action == FlowAction::Drop);
    LONGS_EQUAL(1, agent().admission.flows);
    auto reset = forged;
    reset.sequence = callerSequence + 1;
    CHECK(send(reset).action == FlowAction::Deliver);
    LONGS_EQUAL(0, agent().admission.flows);
    fleet.advance(std::chrono::minutes(5));
    LONGS_EQUAL(0, agent().admission.flows);
}

TEST(FlowRouterOpening, SynFloodUsesLimitedPartOfAdmission)
{
    fleet.connectionLimit = 100;
    fleet.halfOpenLimit = 10;
    fleet.addServer(1);
    int evicted = 0;
    for (std::uint32_t caller = 0; caller < 5000; ++caller) {
        const auto decision = send(synPacket(testKey(caller + 100), caller));
        CHECK(decision.action == FlowAction::Open);
        evicted += static_cast<int>(decision.connectionsToForget.size());
        CHECK(agent().admission.flows <= 10);
    }
    LONGS_EQUAL(4990, evicted);
    // A caller that completes the handshake during the flood is admitted.
    establish();
    fleet.advance(FlowTable::halfOpenTimeout);
    LONGS_EQUAL(1, agent().admission.flows);
}

TEST(FlowRouterOpening, ForwardsSynWhenFullAndResetsWhenAllAreFull)
{
    fleet.connectionLimit = 1;
    fleet.addServer(1);
    fleet.addServer(2);
    fleet.distributeTable();
    establish();
    key = testKey(2);
    auto sent = fleet.messageTo(*fleet.latestTable(), synPacket(key, callerSequence), *fleet.latestTable()->server(1));
    const auto decision = fleet.processUntilDecided(sent);
    CHECK(decision.action == FlowAction::Open);
    key = testKey(3);
    sent = fleet.messageTo(*fleet.latestTable(), synPacket(key, callerSequence), *fleet.latestTable()->server(1));
    CHECK(fleet.processUntilDecided(sent).reason == FlowReason::RejectedByAllServers);
}

TEST(FlowRouterOpening, StaleAgentDropsSynInsteadOfResetting)
{
    fleet.connectionLimit = 0;
    fleet.addServer(1);
    const auto before = fleet.latestTable();
    fleet.addServer(2);
    agent().table = before;
    CHECK(send(synPacket(key, callerSequence)).reason == FlowReason::TableStale);
}

TEST(FlowRouterOpening, AcceptsFlowRejectedDuringWarmupByAllServers)
{
    fleet.canRejectRequests = true;
    fleet.addServer(1);
    fleet.addServer(2);
    fleet.distributeTable();
    agent().admission.warmingUp = true;
    fleet.agent(2).admission.warmingUp = true;
    auto sent = fleet.messageTo(*fleet.latestTable(), synPacket(key, callerSequence), *fleet.latestTable()->server(1));
    const auto decision = fleet.processUntilDecided(sent);
    CHECK(decision.action == FlowAction::Open);
    CHECK(decision.reason == FlowReason::AdmittedToReject);
    LONGS_EQUAL(1, agent().admission.flows + fleet.agent(2).admission.flows);
}

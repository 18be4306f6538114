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
TEST_GROUP(FlowRouterOpening)
{
    RoutedFleet fleet;
    fleet::FlowKey key = testKey(1);

    FlowDecision send(const dataplane::PacketView& packet)
    {
        auto sent = fleet.addressed(*fleet.newest(), packet, *fleet.newest()->server(1));
        return *fleet.step(sent);
    }

    RoutedAgent& agent() { return fleet.agent(1); }

    void establish()
    {
        CHECK(send(synPacket(key, callerSequence)).action == FlowAction::Open);
        sendSynAck(agent(), key, ownSequence);
        CHECK(send(ackPacket(key, callerSequence + 1, ownSequence + 1)).action == FlowAction::Deliver);
        agent().flows.find(key)->served = true;
    }

    // What the task that serves the flow does at its end.
    void end()
    {
        agent().flows.setState(key, FlowState::Closing);
        agent().admission.releaseFlow();
    }
};
// clang-format on

TEST(FlowRouterOpening, ASynOfAReusedPortOpensANewFlow)
{
    fleet.join(1);
    establish();
    end();
    const auto decision = send(synPacket(key, callerSequence + 300000));
    CHECK(decision.action == FlowAction::Open);
    CHECK(decision.reason == FlowReason::PortReused);
    LONGS_EQUAL(1, decision.forgotten.size());
    CHECK(decision.forgotten[0] == key);
    LONGS_EQUAL(1, agent().admission.flows);
}

TEST(FlowRouterOpening, AnOldCopyOfTheSynOpensNothing)
{
    fleet.join(1);
    establish();
    end();
    CHECK(send(synPacket(key, callerSequence)).reason == FlowReason::StaleSyn);
    LONGS_EQUAL(0, agent().admission.flows);
}

TEST(FlowRouterOpening, ASynWithAnotherSequenceReplacesTheHalfOpenFlow)
{
    fleet.join(1);
    CHECK(send(synPacket(key, callerSequence)).action == FlowAction::Open);
    sendSynAck(agent(), key, ownSequence);
    const auto decision = send(synPacket(key, callerSequence + 9));
    CHECK(decision.reason == FlowReason::PortReused);
    CHECK(decision.forgotten.front() == key);
    LONGS_EQUAL(1, agent().admission.flows);
    LONGS_EQUAL(1, agent().flows.halfOpenFlows());
    // The ACK of the first attempt belongs to nobody.
    CHECK(send(ackPacket(key, callerSequence + 1, ownSequence + 1)).action != FlowAction::Deliver);
}

TEST(FlowRouterOpening, ASynOnAnEstablishedFlowIsTheStacksToAnswer)
{
    fleet.join(1);
    establish();
    CHECK(send(synPacket(key, callerSequence + 5000000)).reason == FlowReason::RepeatedSyn);
    LONGS_EQUAL(1, agent().admission.flows);
}

TEST(FlowRouterOpening, LatePacketsOfAnEndedFlowStillFindTheStack)
{
    fleet.join(1);
    establish();
    end();
    CHECK(send(ackPacket(key, callerSequence + 1, ownSequence + 1)).action == FlowAction::Deliver);
}

TEST(FlowRouterOpening, PacketsOfALaterFlowHeldElsewhereAreNotTakenByAnEndedOne)
{
    fleet.join(1);
    establish();
    end();
    CHECK(send(ackPacket(key, callerSequence + 0x20000000, ownSequence + 0x30000000)).action != FlowAction::Deliver);
}

TEST(FlowRouterOpening, PacketsOfALaterFlowHeldElsewhereAreNotTakenByAForgottenOne)
{
    fleet.join(1);
    establish();
    CHECK(send(ackPacket(key, callerSequence + 0x20000000, ownSequence + 0x30000000)).action != FlowAction::Deliver);
}

TEST(FlowRouterOpening, AResetOfAHalfOpenFlowReleasesItsAdmissionOnce)
{
    fleet.join(1);
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

TEST(FlowRouterOpening, AFloodOfSynsKeepsABoundedPartOfAdmission)
{
    fleet.connectionLimit = 100;
    fleet.halfOpenLimit = 10;
    fleet.join(1);
    int evicted = 0;
    for (std::uint32_t caller = 0; caller < 5000; ++caller) {
        const auto decision = send(synPacket(testKey(caller + 100), caller));
        CHECK(decision.action == FlowAction::Open);
        evicted += static_cast<int>(decision.forgotten.size());
        CHECK(agent().admission.flows <= 10);
    }
    LONGS_EQUAL(4990, evicted);
    // A caller that answers within the flood gets in.
    establish();
    fleet.advance(FlowTable::halfOpenTimeout);
    LONGS_EQUAL(1, agent().admission.flows);
}

TEST(FlowRouterOpening, AFullServerPassesTheSynOnAndTheLastRefuses)
{
    fleet.connectionLimit = 1;
    fleet.join(1);
    fleet.join(2);
    fleet.spread();
    establish();
    key = testKey(2);
    auto sent = fleet.addressed(*fleet.newest(), synPacket(key, callerSequence), *fleet.newest()->server(1));
    const auto decision = fleet.follow(sent);
    CHECK(decision.action == FlowAction::Open);
    key = testKey(3);
    sent = fleet.addressed(*fleet.newest(), synPacket(key, callerSequence), *fleet.newest()->server(1));
    CHECK(fleet.follow(sent).reason == FlowReason::AdmittedByNobody);
}

TEST(FlowRouterOpening, ASynFromANewerTableIsNotRefusedByAnOlderOne)
{
    fleet.connectionLimit = 0;
    fleet.join(1);
    const auto before = fleet.newest();
    fleet.join(2);
    agent().table = before;
    CHECK(send(synPacket(key, callerSequence)).reason == FlowReason::TableTooOld);
}

TEST(FlowRouterOpening, AFlowThatAllServersAreTooColdForIsTakenToBeAnswered)
{
    fleet.answersRefusals = true;
    fleet.join(1);
    fleet.join(2);
    fleet.spread();
    agent().admission.cold = true;
    fleet.agent(2).admission.cold = true;
    auto sent = fleet.addressed(*fleet.newest(), synPacket(key, callerSequence), *fleet.newest()->server(1));
    const auto decision = fleet.follow(sent);
    CHECK(decision.action == FlowAction::Open);
    CHECK(decision.reason == FlowReason::AdmittedToRefuse);
    LONGS_EQUAL(1, agent().admission.flows + fleet.agent(2).admission.flows);
}

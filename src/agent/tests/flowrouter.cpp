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
TEST_GROUP(FlowRouter)
{
    SimulatedFleet fleet;
    fleet::FlowKey key = testKey(1);

    void addServers(std::uint32_t count)
    {
        for (std::uint32_t id = 1; id <= count; ++id)
            fleet.addServer(id);
        fleet.distributeTable();
    }

    fleet::ServerEntry rankedServer(std::size_t rank) { return SimulatedFleet::rankedServers(*fleet.latestTable(), key)[rank]; }

    // Opens the flow at the server and completes the handshake.
    SimulatedAgent& establishAt(std::uint32_t serverId)
    {
        auto& agent = fleet.agent(serverId);
        auto syn = fleet.messageTo(*fleet.latestTable(), synPacket(key, callerSequence), *fleet.latestTable()->server(serverId));
        CHECK(fleet.processAtTarget(syn)->action == FlowAction::Open);
        sendSynAck(agent, key, ownSequence);
        auto ack = fleet.messageTo(*fleet.latestTable(), ackPacket(key, callerSequence + 1, ownSequence + 1), *fleet.latestTable()->server(serverId));
        CHECK(fleet.processAtTarget(ack)->action == FlowAction::Deliver);
        agent.flows.find(key)->served = true;
        return agent;
    }

    dataplane::PacketView data() const { return ackPacket(key, callerSequence + 1, ownSequence + 1, 100); }

    FlowDecision send(const fleet::FleetTable& table, const dataplane::PacketView& packet)
    {
        last = *fleet.balancerMessage(table, packet);
        return fleet.processUntilDecided(last);
    }

    // The server at which the last packet was delivered or dropped.
    std::uint32_t lastServerId() { return fleet.agents.at(last.target.address)->identity.serverId; }

    SentMessage last;
};
// clang-format on

// Two agents opened the flow, since a retransmitted SYN took another path than the first one.
TEST(FlowRouter, DeliversAckToAgentWhoseSynAckItAcknowledges)
{
    addServers(4);
    const auto first = rankedServer(1).id;
    const auto second = rankedServer(0).id;
    auto syn = fleet.messageTo(*fleet.latestTable(), synPacket(key, callerSequence), rankedServer(1));
    CHECK(fleet.processAtTarget(syn)->action == FlowAction::Open);
    sendSynAck(fleet.agent(first), key, ownSequence);
    auto retransmission = fleet.messageTo(*fleet.latestTable(), synPacket(key, callerSequence), rankedServer(0));
    CHECK(fleet.processAtTarget(retransmission)->action == FlowAction::Open);
    sendSynAck(fleet.agent(second), key, ownSequence + 77777);
    const auto decision = send(*fleet.latestTable(), ackPacket(key, callerSequence + 1, ownSequence + 1));
    CHECK(decision.action == FlowAction::Deliver);
    LONGS_EQUAL(first, lastServerId());
    // The half-open flow of the second agent is not established.
    CHECK(fleet.agent(second).flows.find(key)->state == FlowState::HalfOpen);
}

// The caller retransmits the SYN if the SYN-ACK is lost.
TEST(FlowRouter, DeliversRetransmittedSynToHolderWithoutNewAdmission)
{
    addServers(3);
    auto syn = fleet.messageTo(*fleet.latestTable(), synPacket(key, callerSequence), rankedServer(0));
    CHECK(fleet.processAtTarget(syn)->action == FlowAction::Open);
    CHECK(send(*fleet.latestTable(), synPacket(key, callerSequence)).reason == FlowReason::SynRetransmission);
    LONGS_EQUAL(1, fleet.agent(rankedServer(0).id).admission.flows);
}

// A flow opened while the first server in rank order was draining; after its restart, the balancer sends packets there.
TEST(FlowRouter, RestartedServerForwardsFlowsHeldByOthers)
{
    addServers(4);
    const auto first = rankedServer(0).id;
    fleet.setDraining(first, true);
    fleet.distributeTable();
    const auto holder = rankedServer(1).id;
    establishAt(holder);
    fleet.addServer(first);
    fleet.distributeTable();
    LONGS_EQUAL(first, rankedServer(0).id);
    const auto decision = send(*fleet.latestTable(), data());
    CHECK(decision.reason == FlowReason::FlowHeld);
    LONGS_EQUAL(holder, lastServerId());
}

// Balancers and agents may have different table versions while a server registers.
TEST(FlowRouter, KeepsFlowWhileTableVersionsDiffer)
{
    addServers(3);
    const auto before = fleet.latestTable();
    fleet.addServer(4);
    const auto after = fleet.latestTable();
    establishAt(4);
    // Stale balancer, stale agents: no visited agent has the holder in its table, so none may send a reset.
    for (int attempt = 0; attempt < 20; ++attempt) {
        CHECK(send(*before, data()).action == FlowAction::Drop);
        fleet.advance(std::chrono::seconds(5));
    }
    // Current balancer, stale agents.
    const auto newer = send(*after, data());
    CHECK(newer.action == FlowAction::Deliver || newer.reason == FlowReason::TableStale);
    // Stale balancer, one current agent: it lists the holder as a candidate for the stale agents.
    fleet.agent(SimulatedFleet::rankedServers(*before, key)[0].id).table = after;
    CHECK(send(*before, data()).action == FlowAction::Deliver);
    LONGS_EQUAL(4, lastServerId());
}

TEST(FlowRouter, DropsPacketWhenSenderHasNewerTable)
{
    addServers(1);
    const auto stale = fleet.agent(1).table;
    fleet.addServer(2);
    establishAt(2);
    CHECK(fleet.agent(1).table == stale);
    auto sent = fleet.messageTo(*fleet.latestTable(), data(), *fleet.latestTable()->server(1));
    const auto decision = fleet.processAtTarget(sent);
    CHECK(decision->action == FlowAction::Drop);
    CHECK(decision->reason == FlowReason::TableStale);
}

TEST(FlowRouter, FindsHolderDuringOverlappingTableChanges)
{
    addServers(3);
    const auto holder = rankedServer(1).id;
    establishAt(holder);
    fleet.setDraining(holder, true);
    const auto first = fleet.latestTable();
    fleet.addServer(4);
    fleet.addServer(5);
    // Agents 1 to 3 have the version before the changes, agents 4 and 5 later ones; the balancer has each version in turn.
    for (const auto& table : fleet.tableVersions) {
        if (table->version() < first->version() - 1)
            continue;
        CHECK(send(*table, data()).action == FlowAction::Deliver);
        LONGS_EQUAL(holder, lastServerId());
    }
    fleet.distributeTable();
    CHECK(send(*first, data()).action == FlowAction::Deliver);
    LONGS_EQUAL(holder, lastServerId());
}

// After a server has restarted, stale balancers still address its old incarnation.
TEST(FlowRouter, ForwardsPacketAddressedToOldIncarnationToHolder)
{
    addServers(3);
    const auto restarted = rankedServer(0);
    const auto holder = rankedServer(1).id;
    establishAt(holder);
    fleet.addServer(restarted.id);
    fleet.distributeTable();
    auto sent = fleet.messageTo(*fleet.latestTable(), data(), restarted);
    CHECK(fleet.processUntilDecided(sent).action == FlowAction::Deliver);
    LONGS_EQUAL(holder, fleet.agents.at(sent.target.address)->identity.serverId);
}

TEST(FlowRouter, DeliversHeldFlowAddressedToOldIncarnation)
{
    addServers(3);
    const auto old = rankedServer(0);
    fleet.addServer(old.id);
    establishAt(old.id);
    auto sent = fleet.messageTo(*fleet.latestTable(), data(), old);
    CHECK(fleet.processAtTarget(sent)->reason == FlowReason::HeldForOtherTarget);
}

TEST(FlowRouter, ForwardsSynAddressedToOldIncarnation)
{
    addServers(2);
    const auto old = rankedServer(0);
    fleet.addServer(old.id);
    fleet.distributeTable();
    auto sent = fleet.messageTo(*fleet.latestTable(), synPacket(key, callerSequence), old);
    CHECK(fleet.processAtTarget(sent)->action == FlowAction::Forward);
    LONGS_EQUAL(0, fleet.agent(old.id).admission.flows);
}

// Agents with different tables must not forward a packet in a loop.
TEST(FlowRouter, LimitsHopsWhenAllTablesDiffer)
{
    addServers(40);
    // Each agent has a different table version.
    for (std::uint32_t id = 1; id <= 40; ++id)
        fleet.agent(id).table = fleet.tableVersions[id];
    auto sent = *fleet.balancerMessage(*fleet.latestTable(), data());
    int hops = 0;
    while (fleet.processAtTarget(sent)->action == FlowAction::Forward)
        CHECK(++hops <= 30);
}

// A packet may have more hops than entries in its visited list.
TEST(FlowRouter, DropsUnknownFlowAtHopLimit)
{
    addServers(3);
    auto sent = *fleet.balancerMessage(*fleet.latestTable(), data());
    sent.message.route->hops = 30;
    CHECK(fleet.processAtTarget(sent)->reason == FlowReason::HopLimitReached);
    // The holder delivers its packets regardless of the hop count.
    establishAt(sent.message.route->serverId);
    CHECK(fleet.processAtTarget(sent)->action == FlowAction::Deliver);
}

// During a rolling upgrade, the new agent of a VM registers as a server of its own while the old one drains.
TEST(FlowRouter, DrainingAgentKeepsItsFlowsBesideItsReplacement)
{
    addServers(3);
    const auto old = rankedServer(0).id;
    establishAt(old);
    // Server 4 replaces the old one, which shuts down.
    fleet.agent(old).router.setShuttingDown(true);
    fleet.addServer(4);
    fleet.distributeTable();
    CHECK(send(*fleet.latestTable(), data()).action == FlowAction::Deliver);
    LONGS_EQUAL(old, lastServerId());
    auto syn = fleet.messageTo(*fleet.latestTable(), synPacket(testKey(2), callerSequence), *fleet.latestTable()->server(old));
    CHECK(fleet.processAtTarget(syn)->action == FlowAction::Forward);
    LONGS_EQUAL(1, fleet.agent(old).admission.flows);
    fleet.setDraining(old, true);
    fleet.distributeTable();
    CHECK(send(*fleet.latestTable(), data()).action == FlowAction::Deliver);
    LONGS_EQUAL(old, lastServerId());
}

// Two stale agents whose tables contain only each other must reach the holder that the sender listed as a candidate.
TEST(FlowRouter, StaleAgentsForwardToListedCandidate)
{
    addServers(2);
    const auto stale = fleet.latestTable();
    fleet.addServer(3);
    establishAt(3);
    fleet.agent(1).table = stale;
    fleet.agent(2).table = stale;
    for (const std::uint32_t first : { 1U, 2U }) {
        auto sent = fleet.messageTo(*fleet.latestTable(), data(), *fleet.latestTable()->server(first));
        sent.message.candidates.push_back({ .serverId = 3, .incarnation = 1, .agent = agentEndpoint(3) });
        CHECK(fleet.processUntilDecided(sent).action == FlowAction::Deliver);
        LONGS_EQUAL(3, fleet.agents.at(sent.target.address)->identity.serverId);
        LONGS_EQUAL(2, sent.message.route->hops);
    }
}

// A caller must not be able to choose its server by its source port without the fleet's secret hash seed.
TEST(FlowRouter, RankOrderDependsOnHashSeed)
{
    addServers(8);
    int differing = 0;
    auto other = fleet.schema;
    other.set_hash_seed(12);
    const fleet::FleetTable reseeded(other);
    for (std::uint32_t caller = 0; caller < 64; ++caller)
        differing += SimulatedFleet::rankedServers(*fleet.latestTable(), testKey(caller))[0].id != SimulatedFleet::rankedServers(reseeded, testKey(caller))[0].id;
    CHECK(differing > 32);
}

TEST(FlowRouter, SendsResetOnlyAfterTableConfirmedSinceFirstMiss)
{
    addServers(3);
    CHECK(send(*fleet.latestTable(), data()).reason == FlowReason::TableUnconfirmed);
    fleet.advance(std::chrono::seconds(1));
    CHECK(send(*fleet.latestTable(), data()).reason == FlowReason::TableUnconfirmed);
    fleet.advance(std::chrono::seconds(1));
    const auto decision = send(*fleet.latestTable(), data());
    CHECK(decision.action == FlowAction::Reset);
    CHECK(decision.reason == FlowReason::HolderNotFound);
}

TEST(FlowRouter, DropsResetOfUnknownFlow)
{
    addServers(3);
    auto reset = data();
    reset.tcpFlags = dataplane::TcpFlags::rst;
    CHECK(send(*fleet.latestTable(), reset).reason == FlowReason::ResetForUnknownFlow);
    LONGS_EQUAL(2, last.message.route->hops);
}

TEST(FlowRouter, DropsUnknownFlowWhenServiceExceedsSearchLimit)
{
    addServers(31);
    fleet.advance(std::chrono::seconds(10));
    for (int attempt = 0; attempt < 3; ++attempt) {
        const auto decision = send(*fleet.latestTable(), data());
        CHECK(decision.action == FlowAction::Drop);
        fleet.advance(std::chrono::seconds(10));
    }
}

TEST(FlowRouter, SendsResetWhenServiceIsWithinSearchLimit)
{
    addServers(30);
    CHECK(send(*fleet.latestTable(), data()).reason == FlowReason::TableUnconfirmed);
    fleet.advance(std::chrono::seconds(3));
    CHECK(send(*fleet.latestTable(), data()).action == FlowAction::Reset);
}

TEST(FlowRouter, ServesAndForwardsWhileMissingFromOwnTable)
{
    addServers(2);
    const auto before = fleet.latestTable();
    auto& late = fleet.addServer(3);
    late.table = before;
    establishAt(3);
    key = testKey(2);
    auto sent = fleet.messageTo(*fleet.latestTable(), data(), *fleet.latestTable()->server(3));
    CHECK(fleet.processAtTarget(sent)->action == FlowAction::Forward);
}

TEST(FlowRouter, DropsPacketOfAnotherService)
{
    addServers(1);
    auto sent = *fleet.balancerMessage(*fleet.latestTable(), synPacket(key, callerSequence));
    auto wrongNetwork = sent;
    wrongNetwork.message.serviceId = 8;
    CHECK(fleet.processAtTarget(wrongNetwork)->reason == FlowReason::WrongService);
    auto wrongRoute = sent;
    wrongRoute.message.route->serviceId = 8;
    CHECK(fleet.processAtTarget(wrongRoute)->reason == FlowReason::WrongService);
    auto wrongDestination = sent;
    ++wrongDestination.packet.key.service.address;
    CHECK(fleet.processAtTarget(wrongDestination)->reason == FlowReason::WrongService);
    auto wrongProtocol = sent;
    wrongProtocol.packet.key.protocol = fleet::TransportProtocol::Udp;
    CHECK(fleet.processAtTarget(wrongProtocol)->reason == FlowReason::WrongService);
    LONGS_EQUAL(0, fleet.agent(1).admission.flows);
}

TEST(FlowRouter, DropsPacketsWhileZoneIsOut)
{
    addServers(2);
    auto& agent = establishAt(1);
    fleet.setZoneOut("zone1", true);
    fleet.distributeTable();
    auto sent = fleet.messageTo(*fleet.latestTable(), data(), *fleet.latestTable()->server(1));
    CHECK(fleet.processAtTarget(sent)->reason == FlowReason::ZoneOut);
    CHECK(agent.flows.find(key));
}

TEST(FlowRouter, RejectsNewFlowsWhileDrainingInTable)
{
    addServers(2);
    fleet.setDraining(1, true);
    fleet.distributeTable();
    auto syn = fleet.messageTo(*fleet.latestTable(), synPacket(key, callerSequence), *fleet.latestTable()->server(1));
    CHECK(fleet.processAtTarget(syn)->reason == FlowReason::NotAdmitted);
    fleet.setDraining(1, false);
    fleet.distributeTable();
    syn = fleet.messageTo(*fleet.latestTable(), synPacket(key, callerSequence), *fleet.latestTable()->server(1));
    CHECK(fleet.processAtTarget(syn)->action == FlowAction::Open);
}

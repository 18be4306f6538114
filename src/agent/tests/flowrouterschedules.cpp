#include "agent/internal/flowrouter.h"

#include "agent/tests/simulatedfleet.h"
#include "foundation/seededrandom.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace clementinesill;
using namespace clementinesill::agent;

namespace {

constexpr std::uint32_t otherServiceId = 8;
constexpr Endpoint otherService { .address = 0x0a000002, .port = 80 };

// A caller and its view of its connection.
struct Caller {
    fleet::FlowKey key;
    // Sequence number of the caller's latest SYN.
    std::uint32_t sequence = 0;
    // Sequence number of the SYN-ACK that the caller received.
    std::uint32_t agentSequence = 0;
    bool connecting = false;
    bool synAckReceived = false;
    // The agent that holds the flow. Set once it has received the caller's ACK; the flow must not break from then on.
    SimulatedAgent* holder = nullptr;
};

// Executes random events on a fleet with callers, and asserts each guarantee at the events that could violate it.
class Schedule {
public:
    explicit Schedule(std::uint64_t seed)
        : m_random(seed)
    {
        m_fleet.addService(otherServiceId, otherService);
        m_fleet.publish();
        for (std::uint32_t id = 1; id <= 5; ++id)
            addServer();
        m_fleet.distributeTable();
        m_balancerTables.resize(3, m_fleet.latestTable());
        for (std::uint32_t caller = 0; caller < 6; ++caller)
            m_callers.push_back({ .key = testKey(caller) });
    }

    void run(int steps)
    {
        using Event = void (Schedule::*)();
        static constexpr std::array<Event, 17> events {
            &Schedule::sendSyn, &Schedule::sendSyn, &Schedule::sendData, &Schedule::sendData, &Schedule::sendData,
            &Schedule::deliverRandomPacket, &Schedule::deliverRandomPacket, &Schedule::deliverRandomPacket, &Schedule::deliverRandomPacket, &Schedule::deliverRandomPacket,
            &Schedule::duplicatePacket, &Schedule::losePacket, &Schedule::changeTable, &Schedule::updateOneTable, &Schedule::updateAllAgents, &Schedule::endRandomFlow, &Schedule::advanceClock
        };
        for (int step = 0; step < steps; ++step)
            (this->*events[m_random.below(events.size())])();
        int remainingDeliveries = static_cast<int>(m_packetsInFlight.size()) * 32;
        while (!m_packetsInFlight.empty()) {
            RC_ASSERT(remainingDeliveries-- > 0);
            deliverRandomPacket();
        }
    }

    int delivered = 0;
    int resets = 0;

private:
    template <typename T>
    T& pick(std::vector<T>& values) { return values[m_random.below(values.size())]; }

    bool oneIn(std::uint64_t chances) { return !m_random.below(chances); }

    void addServer()
    {
        m_fleet.addServer(++m_lastServerId);
        m_serverIds.push_back(m_lastServerId);
    }

    void sendThroughBalancer(const dataplane::PacketView& packet, const Caller& caller)
    {
        const auto& table = *pick(m_balancerTables);
        // A balancer's flow cache contains the holder, or a stale entry with any server.
        const fleet::ServerEntry* cachedServer = nullptr;
        if (!packet.opensTcpFlow() && oneIn(4))
            cachedServer = table.server(caller.holder && !oneIn(3) ? caller.holder->identity.serverId : pick(m_serverIds));
        if (const auto sent = m_fleet.balancerMessage(table, packet, cachedServer))
            m_packetsInFlight.push_back(*sent);
    }

    void sendSyn()
    {
        auto& caller = pick(m_callers);
        if (caller.holder)
            return;
        if (!caller.connecting) {
            caller.sequence += 0x01000000 + static_cast<std::uint32_t>(m_random.below(1000));
            caller.connecting = true;
            caller.synAckReceived = false;
        }
        sendThroughBalancer(synPacket(caller.key, caller.sequence), caller);
    }

    void sendData()
    {
        auto& caller = pick(m_callers);
        if (!caller.synAckReceived)
            return;
        auto packet = ackPacket(caller.key, caller.sequence + 1, caller.agentSequence + 1, static_cast<std::uint16_t>(m_random.below(1000)));
        sendThroughBalancer(packet, caller);
    }

    void deliverRandomPacket()
    {
        if (m_packetsInFlight.empty())
            return;
        std::swap(pick(m_packetsInFlight), m_packetsInFlight.back());
        auto sent = m_packetsInFlight.back();
        m_packetsInFlight.pop_back();
        const auto target = sent.target;
        const auto decision = m_fleet.processAtTarget(sent);
        if (!decision)
            return;
        auto& agent = *m_fleet.agents.at(target.address);
        auto& caller = *std::find_if(m_callers.begin(), m_callers.end(), [&](const auto& known) { return known.key == sent.packet.key; });
        RC_ASSERT(sent.message.route->hops <= 30);
        if (decision->action == FlowAction::Forward)
            m_packetsInFlight.push_back(sent);
        else if (decision->action == FlowAction::Open || decision->reason == FlowReason::SynRetransmission)
            handleSyn(agent, caller, sent.packet);
        else if (decision->action == FlowAction::Deliver)
            handleDelivery(agent, caller, sent.packet);
        else if (decision->action == FlowAction::Reset)
            handleReset(caller, sent.packet);
    }

    // Whether the packet belongs to the caller's current flow and not to an earlier one.
    static bool belongsToCurrentFlow(const Caller& caller, const dataplane::PacketView& packet) { return areSequencesNear(packet.sequence, caller.sequence); }

    void handleSyn(SimulatedAgent& agent, Caller& caller, const dataplane::PacketView& packet)
    {
        RC_ASSERT(agent.identity.serviceId == testServiceId);
        if (!agent.flows.find(caller.key)->synAckSent) {
            m_openedAtVersion[{ &agent, caller.key.caller.address }] = m_fleet.latestTable()->version();
            sendSynAck(agent, caller.key, static_cast<std::uint32_t>(m_random.next()));
        }
        if (oneIn(4) || !caller.connecting || caller.synAckReceived || !belongsToCurrentFlow(caller, packet))
            return;
        caller.synAckReceived = true;
        caller.agentSequence = agent.flows.find(caller.key)->ownSequence;
        sendThroughBalancer(ackPacket(caller.key, caller.sequence + 1, caller.agentSequence + 1), caller);
    }

    void handleDelivery(SimulatedAgent& agent, Caller& caller, const dataplane::PacketView& packet)
    {
        RC_ASSERT(agent.identity.serviceId == testServiceId);
        if (!belongsToCurrentFlow(caller, packet))
            return;
        const auto& entry = *agent.flows.find(caller.key);
        RC_ASSERT(entry.ownSequence == caller.agentSequence);
        if (!caller.holder && entry.state == FlowState::Established) {
            caller.holder = &agent;
            agent.flows.find(caller.key)->served = true;
        }
        RC_ASSERT(!caller.holder || caller.holder == &agent);
        ++delivered;
        // A flow that an agent accepts after its zone was taken out, because its table is stale, has no guarantee.
        if (caller.holder && m_openedAtVersion[{ &agent, caller.key.caller.address }] < m_zoneInServiceSince[agent.identity.serverId % 3])
            endFlowAtHolder(caller);
    }

    void handleReset(Caller& caller, const dataplane::PacketView& packet)
    {
        ++resets;
        if (!belongsToCurrentFlow(caller, packet))
            return;
        // A connected caller ignores a reset in response to its SYN, since the sequence number is not the next expected one.
        if (packet.opensTcpFlow() && caller.synAckReceived)
            return;
        RC_ASSERT(!caller.holder);
        disconnect(caller);
    }

    void disconnect(Caller& caller)
    {
        caller.connecting = false;
        caller.synAckReceived = false;
        caller.holder = nullptr;
    }

    void duplicatePacket()
    {
        if (!m_packetsInFlight.empty())
            m_packetsInFlight.push_back(pick(m_packetsInFlight));
    }

    void losePacket()
    {
        if (!m_packetsInFlight.empty() && oneIn(3)) {
            std::swap(pick(m_packetsInFlight), m_packetsInFlight.back());
            m_packetsInFlight.pop_back();
        }
    }

    void endRandomFlow()
    {
        auto& caller = pick(m_callers);
        if (!caller.holder || !oneIn(3))
            return;
        caller.holder->flows.setState(caller.key, FlowState::Closing);
        caller.holder->admission.releaseFlow();
        disconnect(caller);
    }

    void advanceClock() { m_fleet.advance(std::chrono::milliseconds(m_random.below(4000))); }

    void changeTable()
    {
        if (!oneIn(3))
            return;
        using Change = void (Schedule::*)();
        static constexpr std::array<Change, 8> changes { &Schedule::changeDraining, &Schedule::changeDraining, &Schedule::addServerBelowLimit, &Schedule::addServerBelowLimit, &Schedule::removeIdleServer, &Schedule::removeIdleServer, &Schedule::restartServer, &Schedule::changeZone };
        (this->*changes[m_random.below(changes.size())])();
    }

    void changeDraining() { m_fleet.setDraining(pick(m_serverIds), oneIn(2)); }

    void addServerBelowLimit()
    {
        if (m_serverIds.size() < 8)
            addServer();
    }

    // A server is removed from the table only after its flows have ended. A server of another service reuses its endpoint.
    void removeIdleServer()
    {
        const auto idle = std::find_if(m_serverIds.begin(), m_serverIds.end(), [this](auto id) { return !m_fleet.agent(id).flows.openFlowCount(); });
        if (m_serverIds.size() < 4 || idle == m_serverIds.end())
            return;
        const auto id = *idle;
        m_fleet.remove(id);
        m_serverIds.erase(idle);
        m_fleet.addServer(id + 100000, otherServiceId, otherService);
        m_fleet.agents[agentEndpoint(id).address] = std::move(m_fleet.agents[agentEndpoint(id + 100000).address]);
        m_fleet.agents.erase(agentEndpoint(id + 100000).address);
    }

    // Restarts a server; its flows end.
    void restartServer()
    {
        const auto id = pick(m_serverIds);
        for (auto& caller : m_callers) {
            if (caller.holder == &m_fleet.agent(id))
                disconnect(caller);
        }
        m_fleet.addServer(id);
    }

    void changeZone()
    {
        const auto zone = m_random.below(3);
        const bool out = oneIn(2);
        m_fleet.setZoneOut("zone" + std::to_string(zone), out);
        m_zoneInServiceSince[zone] = out ? UINT64_MAX : m_fleet.latestTable()->version();
        for (auto& caller : m_callers) {
            if (out && caller.holder && caller.holder->identity.serverId % 3 == zone)
                endFlowAtHolder(caller);
        }
    }

    void endFlowAtHolder(Caller& caller)
    {
        caller.holder->flows.setState(caller.key, FlowState::Closing);
        caller.holder->admission.releaseFlow();
        disconnect(caller);
    }

    // Gives the next or the latest table version to one balancer or agent.
    void updateOneTable()
    {
        if (oneIn(2)) {
            auto& table = pick(m_balancerTables);
            table = oneIn(2) ? m_fleet.latestTable() : nextVersion(table);
            return;
        }
        auto& agent = m_fleet.agent(pick(m_serverIds));
        agent.table = oneIn(2) ? m_fleet.latestTable() : nextVersion(agent.table);
    }

    // Gives the latest table to all agents; balancers may remain stale.
    void updateAllAgents()
    {
        if (oneIn(8))
            m_fleet.distributeTable();
    }

    std::shared_ptr<const fleet::FleetTable> nextVersion(const std::shared_ptr<const fleet::FleetTable>& table)
    {
        return table == m_fleet.latestTable() ? table : m_fleet.tableVersions[table->version()];
    }

    SeededRandom m_random;
    SimulatedFleet m_fleet;
    std::uint32_t m_lastServerId = 0;
    std::vector<std::uint32_t> m_serverIds;
    std::vector<std::shared_ptr<const fleet::FleetTable>> m_balancerTables;
    std::vector<Caller> m_callers;
    // Latest table version at the time when an agent opened its newest flow of a caller.
    std::map<std::pair<const SimulatedAgent*, std::uint32_t>, std::uint64_t> m_openedAtVersion;
    // Table version since which a zone has been in service; the maximum value while it is out.
    std::array<std::uint64_t, 3> m_zoneInServiceSince {};
    std::vector<SentMessage> m_packetsInFlight;
};

} // namespace

// clang-format off
TEST_GROUP(FlowRouterSchedules) {};
// clang-format on

TEST(FlowRouterSchedules, KeepsEstablishedFlowsUnderRandomEvents)
{
    int delivered = 0;
    int resets = 0;
    CHECK(rc::check("established flows are delivered to their holder only and never reset", [&](std::uint64_t seed) {
        Schedule schedule(seed);
        schedule.run(1500);
        delivered += schedule.delivered;
        resets += schedule.resets;
    }));
    // The events must have had an effect.
    CHECK(delivered > 1000);
    CHECK(resets > 10);
}

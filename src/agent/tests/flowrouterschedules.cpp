#include "agent/internal/flowrouter.h"

#include "agent/tests/routedfleet.h"
#include "foundation/seededrandom.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace clementinesill;
using namespace clementinesill::agent;

namespace {

constexpr std::uint32_t otherServiceId = 8;
constexpr Endpoint otherService { .address = 0x0a000002, .port = 80 };

// A caller and what it knows of its connection.
struct Caller {
    fleet::FlowKey key;
    std::uint32_t sequence = 0;
    std::uint32_t ownSequence = 0;
    bool opening = false;
    bool answered = false;
    // Set once the holder has the caller's ACK; from then on nothing may break the flow.
    RoutedAgent* holder = nullptr;
};

// Random events on a fleet with callers; every promise is asserted where it could break.
class Schedule {
public:
    explicit Schedule(std::uint64_t seed)
        : m_random(seed)
    {
        m_fleet.addService(otherServiceId, otherService);
        m_fleet.publish();
        for (std::uint32_t id = 1; id <= 5; ++id)
            join();
        m_fleet.spread();
        m_balancers.resize(3, m_fleet.newest());
        for (std::uint32_t caller = 0; caller < 6; ++caller)
            m_callers.push_back({ .key = testKey(caller) });
    }

    void run(int steps)
    {
        using Event = void (Schedule::*)();
        static constexpr std::array<Event, 17> events {
            &Schedule::sendSyn, &Schedule::sendSyn, &Schedule::sendData, &Schedule::sendData, &Schedule::sendData,
            &Schedule::deliver, &Schedule::deliver, &Schedule::deliver, &Schedule::deliver, &Schedule::deliver,
            &Schedule::repeat, &Schedule::lose, &Schedule::changeTable, &Schedule::catchUp, &Schedule::settle, &Schedule::endFlow, &Schedule::passTime
        };
        for (int step = 0; step < steps; ++step)
            (this->*events[m_random.below(events.size())])();
        int rest = static_cast<int>(m_queue.size()) * 32;
        while (!m_queue.empty()) {
            RC_ASSERT(rest-- > 0);
            deliver();
        }
    }

    int delivered = 0;
    int resets = 0;

private:
    template <typename T>
    T& pick(std::vector<T>& values) { return values[m_random.below(values.size())]; }

    bool oneIn(std::uint64_t chances) { return !m_random.below(chances); }

    void join()
    {
        m_fleet.join(++m_lastServer);
        m_servers.push_back(m_lastServer);
    }

    void queue(const dataplane::PacketView& packet, const Caller& caller)
    {
        const auto& table = *pick(m_balancers);
        // A flow cache names the holder, or wrongly any server.
        const fleet::ServerEntry* named = nullptr;
        if (!packet.opensTcpFlow() && oneIn(4))
            named = table.server(caller.holder && !oneIn(3) ? caller.holder->identity.serverId : pick(m_servers));
        if (const auto sent = m_fleet.fromBalancer(table, packet, named))
            m_queue.push_back(*sent);
    }

    void sendSyn()
    {
        auto& caller = pick(m_callers);
        if (caller.holder)
            return;
        if (!caller.opening) {
            caller.sequence += 0x01000000 + static_cast<std::uint32_t>(m_random.below(1000));
            caller.opening = true;
            caller.answered = false;
        }
        queue(synPacket(caller.key, caller.sequence), caller);
    }

    void sendData()
    {
        auto& caller = pick(m_callers);
        if (!caller.answered)
            return;
        auto packet = ackPacket(caller.key, caller.sequence + 1, caller.ownSequence + 1, static_cast<std::uint16_t>(m_random.below(1000)));
        queue(packet, caller);
    }

    void deliver()
    {
        if (m_queue.empty())
            return;
        std::swap(pick(m_queue), m_queue.back());
        auto sent = m_queue.back();
        m_queue.pop_back();
        const auto target = sent.target;
        const auto decision = m_fleet.step(sent);
        if (!decision)
            return;
        auto& agent = *m_fleet.agents.at(target.address);
        auto& caller = *std::find_if(m_callers.begin(), m_callers.end(), [&](const auto& known) { return known.key == sent.packet.key; });
        RC_ASSERT(sent.message.route->hops <= 30);
        if (decision->action == FlowAction::PassOn)
            m_queue.push_back(sent);
        else if (decision->action == FlowAction::Open || decision->reason == FlowReason::RepeatedSyn)
            answerSyn(agent, caller, sent.packet);
        else if (decision->action == FlowAction::Deliver)
            take(agent, caller, sent.packet);
        else if (decision->action == FlowAction::Reset)
            reset(caller, sent.packet);
    }

    // Packets of the caller's flow as it is now, not of one that has ended.
    static bool current(const Caller& caller, const dataplane::PacketView& packet) { return nearSequence(packet.sequence, caller.sequence); }

    void answerSyn(RoutedAgent& agent, Caller& caller, const dataplane::PacketView& packet)
    {
        RC_ASSERT(agent.identity.serviceId == testServiceId);
        if (!agent.flows.find(caller.key)->synAckSent) {
            m_openedAt[{ &agent, caller.key.caller.address }] = m_fleet.newest()->version();
            sendSynAck(agent, caller.key, static_cast<std::uint32_t>(m_random.next()));
        }
        if (oneIn(4) || !caller.opening || caller.answered || !current(caller, packet))
            return;
        caller.answered = true;
        caller.ownSequence = agent.flows.find(caller.key)->ownSequence;
        queue(ackPacket(caller.key, caller.sequence + 1, caller.ownSequence + 1), caller);
    }

    void take(RoutedAgent& agent, Caller& caller, const dataplane::PacketView& packet)
    {
        RC_ASSERT(agent.identity.serviceId == testServiceId);
        if (!current(caller, packet))
            return;
        const auto& entry = *agent.flows.find(caller.key);
        RC_ASSERT(entry.ownSequence == caller.ownSequence);
        if (!caller.holder && entry.state == FlowState::Established) {
            caller.holder = &agent;
            agent.flows.find(caller.key)->served = true;
        }
        RC_ASSERT(!caller.holder || caller.holder == &agent);
        ++delivered;
        // An agent that has not heard that its zone is out may still take a flow, which nobody promises anything.
        if (caller.holder && m_openedAt[{ &agent, caller.key.caller.address }] < m_zoneInSince[agent.identity.serverId % 3])
            endAt(caller);
    }

    void reset(Caller& caller, const dataplane::PacketView& packet)
    {
        ++resets;
        if (!current(caller, packet))
            return;
        // A caller that is connected ignores a reset whose sequence number is not the next one: the answer to a SYN.
        if (packet.opensTcpFlow() && caller.answered)
            return;
        RC_ASSERT(!caller.holder);
        giveUp(caller);
    }

    void giveUp(Caller& caller)
    {
        caller.opening = false;
        caller.answered = false;
        caller.holder = nullptr;
    }

    void repeat()
    {
        if (!m_queue.empty())
            m_queue.push_back(pick(m_queue));
    }

    void lose()
    {
        if (!m_queue.empty() && oneIn(3)) {
            std::swap(pick(m_queue), m_queue.back());
            m_queue.pop_back();
        }
    }

    void endFlow()
    {
        auto& caller = pick(m_callers);
        if (!caller.holder || !oneIn(3))
            return;
        caller.holder->flows.setState(caller.key, FlowState::Closing);
        caller.holder->admission.releaseFlow();
        giveUp(caller);
    }

    void passTime() { m_fleet.advance(std::chrono::milliseconds(m_random.below(4000))); }

    void changeTable()
    {
        if (!oneIn(3))
            return;
        using Change = void (Schedule::*)();
        static constexpr std::array<Change, 8> changes { &Schedule::drain, &Schedule::drain, &Schedule::joinOne, &Schedule::joinOne, &Schedule::removeOne, &Schedule::removeOne, &Schedule::restart, &Schedule::changeZone };
        (this->*changes[m_random.below(changes.size())])();
    }

    void drain() { m_fleet.setDraining(pick(m_servers), oneIn(2)); }

    void joinOne()
    {
        if (m_servers.size() < 8)
            join();
    }

    // A server leaves the table only once its flows have ended. Another service takes over its endpoint.
    void removeOne()
    {
        const auto idle = std::find_if(m_servers.begin(), m_servers.end(), [this](auto id) { return !m_fleet.agent(id).flows.openFlows(); });
        if (m_servers.size() < 4 || idle == m_servers.end())
            return;
        const auto id = *idle;
        m_fleet.remove(id);
        m_servers.erase(idle);
        m_fleet.join(id + 100000, otherServiceId, otherService);
        m_fleet.agents[agentEndpoint(id).address] = std::move(m_fleet.agents[agentEndpoint(id + 100000).address]);
        m_fleet.agents.erase(agentEndpoint(id + 100000).address);
    }

    // The flows that it held end with it.
    void restart()
    {
        const auto id = pick(m_servers);
        for (auto& caller : m_callers) {
            if (caller.holder == &m_fleet.agent(id))
                giveUp(caller);
        }
        m_fleet.join(id);
    }

    void changeZone()
    {
        const auto zone = m_random.below(3);
        const bool out = oneIn(2);
        m_fleet.setZoneOut("zone" + std::to_string(zone), out);
        m_zoneInSince[zone] = out ? UINT64_MAX : m_fleet.newest()->version();
        for (auto& caller : m_callers) {
            if (out && caller.holder && caller.holder->identity.serverId % 3 == zone)
                endAt(caller);
        }
    }

    void endAt(Caller& caller)
    {
        caller.holder->flows.setState(caller.key, FlowState::Closing);
        caller.holder->admission.releaseFlow();
        giveUp(caller);
    }

    // A process takes the next version or the newest.
    void catchUp()
    {
        if (oneIn(2)) {
            auto& table = pick(m_balancers);
            table = oneIn(2) ? m_fleet.newest() : next(table);
            return;
        }
        auto& agent = m_fleet.agent(pick(m_servers));
        agent.table = oneIn(2) ? m_fleet.newest() : next(agent.table);
    }

    // All agents catch up; the balancers may lag behind for as long as they like.
    void settle()
    {
        if (oneIn(8))
            m_fleet.spread();
    }

    std::shared_ptr<const fleet::FleetTable> next(const std::shared_ptr<const fleet::FleetTable>& table)
    {
        return table == m_fleet.newest() ? table : m_fleet.versions[table->version()];
    }

    SeededRandom m_random;
    RoutedFleet m_fleet;
    std::uint32_t m_lastServer = 0;
    std::vector<std::uint32_t> m_servers;
    std::vector<std::shared_ptr<const fleet::FleetTable>> m_balancers;
    std::vector<Caller> m_callers;
    // Table version in force when an agent opened its newest flow of a caller.
    std::map<std::pair<const RoutedAgent*, std::uint32_t>, std::uint64_t> m_openedAt;
    // Table version since which a zone has been in; the greatest number while it is out.
    std::array<std::uint64_t, 3> m_zoneInSince {};
    std::vector<SentMessage> m_queue;
};

} // namespace

// clang-format off
TEST_GROUP(FlowRouterSchedules) {};
// clang-format on

TEST(FlowRouterSchedules, NoEstablishedFlowIsBrokenWhateverChanges)
{
    int delivered = 0;
    int resets = 0;
    CHECK(rc::check("established flows are delivered to their holder alone and never reset", [&](std::uint64_t seed) {
        Schedule schedule(seed);
        schedule.run(1500);
        delivered += schedule.delivered;
        resets += schedule.resets;
    }));
    // The schedules must have done something.
    CHECK(delivered > 1000);
    CHECK(resets > 10);
}

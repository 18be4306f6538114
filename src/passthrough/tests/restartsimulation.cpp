#include "passthrough/tests/restartsimulation.h"

#include "fleet.pb.h"

#include <cmath>

namespace clementinesill::passthrough {

namespace {

constexpr std::uint32_t simulatedService = 1;
// One-way delay between any two VMs.
constexpr std::chrono::milliseconds linkDelay { 1 };
// Callers retransmit a SYN after these times if no response arrives, and end the attempt after the last one.
constexpr std::chrono::milliseconds firstRetransmission { 200 };
constexpr std::chrono::milliseconds secondRetransmission { 600 };
constexpr std::chrono::milliseconds attemptTimeout { 1400 };
// Maximum number of requests that a server queues beyond its slots; it bounces further ones.
constexpr std::size_t serverQueueLength = 20;
// Maximum relative deviation of the service time from its mean.
constexpr double serviceTimeSpread = 0.5;

std::shared_ptr<const fleet::FleetTable> makeTable(const RestartScenario& scenario)
{
    schema::Table table;
    table.set_version(10);
    table.set_hash_seed(7);
    table.set_document_version(3);
    auto& service = *table.add_services();
    service.set_id(simulatedService);
    service.set_name("desk");
    for (std::uint32_t id = 1; id <= scenario.servers; ++id) {
        auto& server = *table.add_servers();
        server.set_id(id);
        server.set_incarnation(1);
        server.set_service_id(simulatedService);
        server.set_zone("mandaue");
        server.set_agent_endpoint("10.0.0." + std::to_string(id) + ":8172");
        server.set_slots(scenario.slots);
        server.set_state(schema::SERVER_STATE_ACTIVE);
    }
    auto& route = *table.add_routes();
    route.set_endpoint(format(testService));
    route.set_timeout_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(scenario.timeout).count()));
    route.set_target_latency_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(scenario.targetLatency).count()));
    auto& target = *route.add_targets();
    target.set_service_id(simulatedService);
    target.set_weight(1);
    return std::make_shared<const fleet::FleetTable>(table);
}

} // namespace

RestartSimulation::Node::Node(std::uint32_t id, const ManualClock& clock)
    : RouterFixture(clock, "mandaue", std::chrono::hours(1))
    , id(id)
{
    server.applyHeartbeat({ .name = "server-" + std::to_string(id), .service = "desk", .zone = "mandaue", .slots = 5, .sequence = 1, .startedAtMs = 5 });
    router.setServer(id, simulatedService);
}

RestartSimulation::RestartSimulation(const RestartScenario& scenario)
    : m_scenario(scenario)
    , m_random(scenario.seed)
    , m_outageEnd(m_clock.now() + scenario.outage)
    , m_table(makeTable(scenario))
{
    for (std::uint32_t id = 1; id <= scenario.servers; ++id) {
        m_nodes.push_back(std::make_unique<Node>(id, m_clock));
        m_nodes.back()->load.setSlots(scenario.slots);
    }
}

RequestOutcomes RestartSimulation::run()
{
    scheduleArrivals();
    while (!m_events.empty()) {
        const auto first = m_events.begin();
        const auto event = std::move(first->second);
        m_clock.advance(first->first - m_clock.now());
        m_events.erase(first);
        event();
    }
    return m_outcomes;
}

void RestartSimulation::schedule(MonotonicTime time, std::function<void()> event)
{
    m_events.emplace(time, std::move(event));
}

void RestartSimulation::scheduleArrivals()
{
    const auto end = m_outageEnd + m_scenario.length;
    const auto mean = std::chrono::duration<double>(1 / m_scenario.rate);
    auto time = m_clock.now();
    while (true) {
        constexpr std::uint64_t steps = 1 << 20;
        const auto uniform = static_cast<double>(m_random.below(steps) + 1) / static_cast<double>(steps);
        time += std::chrono::duration_cast<Duration>(-std::log(uniform) * mean);
        if (time >= end)
            return;
        m_requests.push_back({ .sentAt = time });
        schedule(time, [this, request = m_requests.size() - 1] { startAttempt(request); });
        ++(time < m_outageEnd ? m_outcomes.sentDuringOutage : m_outcomes.sentAfterOutage);
    }
}

bool RestartSimulation::isCurrentAttempt(std::size_t request, std::uint16_t port) const
{
    return !m_requests[request].responded && m_requests[request].port == port;
}

void RestartSimulation::startAttempt(std::size_t request)
{
    auto& state = m_requests[request];
    if (m_clock.now() - state.sentAt >= m_scenario.timeout)
        return;
    state.port = ++m_lastPort;
    const auto port = state.port;
    sendSyn(request, 0, port);
    schedule(m_clock.now() + firstRetransmission, [this, request, port] { sendSyn(request, 1, port); });
    schedule(m_clock.now() + secondRetransmission, [this, request, port] { sendSyn(request, 2, port); });
    schedule(m_clock.now() + attemptTimeout, [this, request, port] { retry(request, port); });
}

void RestartSimulation::sendSyn(std::size_t request, std::uint32_t retransmissions, std::uint16_t port)
{
    if (!isCurrentAttempt(request, port) || m_clock.now() < m_outageEnd)
        return;
    const auto packet = synPacket(port, retransmissions);
    const auto decision = m_entryRouter.decide(packet, *m_table);
    Search search;
    search.route = { .tableVersion = m_table->version(), .serviceId = simulatedService, .serverId = decision.server->id, .incarnation = 1, .balancer = {}, .ingress = {} };
    schedule(m_clock.now() + 2 * linkDelay, [this, search, request, packet] { onPacketArrival(search, request, packet); });
}

void RestartSimulation::onPacketArrival(Search search, std::size_t request, const FlowPacket& packet)
{
    auto& node = *m_nodes[search.route.serverId - 1];
    auto decision = node.router.decide(search, packet, view());
    if (decision.action == RelayAction::Open && node.running >= m_scenario.slots && node.queue.size() >= serverQueueLength)
        decision = node.router.decideBounced(search, packet, view());
    switch (decision.action) {
    case RelayAction::Open:
        startRequest(node, request, packet.key.caller.port);
        return;
    case RelayAction::Forward:
        search.advance(decision, node.id, *m_table);
        schedule(m_clock.now() + linkDelay, [this, search, request, packet] { onPacketArrival(search, request, packet); });
        return;
    case RelayAction::Reset:
        schedule(m_clock.now() + linkDelay, [this, request, port = packet.key.caller.port] { retry(request, port); });
        return;
    default:
        return;
    }
}

void RestartSimulation::startRequest(Node& node, std::size_t request, std::uint16_t port)
{
    if (node.running >= m_scenario.slots) {
        node.queue.emplace_back(request, port);
        return;
    }
    ++node.running;
    const bool cold = m_clock.now() - m_outageEnd < m_scenario.coldTime;
    constexpr std::uint64_t steps = 1024;
    const auto spread = 1 + serviceTimeSpread * (2 * static_cast<double>(m_random.below(steps)) / steps - 1);
    const auto serviceTime = std::chrono::duration_cast<Duration>(m_scenario.serviceTime * (cold ? m_scenario.coldFactor : 1) * spread);
    schedule(m_clock.now() + serviceTime, [this, &node, request, port] { finishRequest(node, request, port); });
}

void RestartSimulation::finishRequest(Node& node, std::size_t request, std::uint16_t port)
{
    --node.running;
    auto& state = m_requests[request];
    auto response = serverPacket(5001, 100, port);
    node.flows.recordServerPacket(response);
    const auto latency = m_clock.now() + 2 * linkDelay - state.sentAt;
    if (!state.responded && latency <= m_scenario.timeout) {
        const bool inTime = latency <= m_scenario.targetLatency;
        if (state.sentAt < m_outageEnd)
            m_outcomes.servedFromBacklog += 1;
        else
            ++(inTime ? m_outcomes.servedInTime : m_outcomes.servedLate);
    }
    state.responded = true;
    node.flows.erase(testFlow(port));
    if (node.queue.empty())
        return;
    const auto [next, nextPort] = node.queue.front();
    node.queue.pop_front();
    startRequest(node, next, nextPort);
}

void RestartSimulation::retry(std::size_t request, std::uint16_t port)
{
    if (!isCurrentAttempt(request, port) || m_requests[request].retryCount >= m_scenario.retries)
        return;
    ++m_requests[request].retryCount;
    startAttempt(request);
}

} // namespace clementinesill::passthrough

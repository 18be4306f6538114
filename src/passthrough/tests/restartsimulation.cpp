#include "passthrough/tests/restartsimulation.h"

#include "passthrough/tests/testtable.h"

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
// Removal of flows whose handshake was not completed.
constexpr std::chrono::milliseconds flowExpiry { 2600 };
// A flow without a request no longer counts as in flight after this time.
constexpr std::chrono::milliseconds requestTimeout { 150 };
// Length of the windows in which goodput is measured.
constexpr std::chrono::seconds goodputWindow { 2 };
// Maximum relative deviation of the service time from its mean.
constexpr double serviceTimeSpread = 0.5;

std::shared_ptr<const fleet::FleetTable> makeTable(const RestartScenario& scenario)
{
    auto table = makeTestTable();
    auto& service = *table.add_services();
    service.set_id(simulatedService);
    service.set_name("desk");
    for (std::uint32_t id = 1; id <= scenario.servers; ++id)
        addTestServer(table, id, simulatedService, "mandaue", scenario.slots);
    std::uint16_t port = testService.port;
    for (const auto& requestClass : scenario.classes) {
        auto& route = *table.add_routes();
        route.set_endpoint(format({ .address = testService.address, .port = port++ }));
        route.set_timeout_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(requestClass.timeout).count()));
        route.set_target_latency_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(requestClass.targetLatency).count()));
        route.set_priority(requestClass.priority);
        auto& target = *route.add_targets();
        target.set_service_id(simulatedService);
        target.set_weight(1);
    }
    return std::make_shared<const fleet::FleetTable>(table);
}

RestartScenario withClasses(RestartScenario scenario)
{
    if (scenario.classes.empty())
        scenario.classes = { { .rate = scenario.rate, .work = scenario.serviceTime, .targetLatency = scenario.targetLatency, .timeout = scenario.timeout } };
    return scenario;
}

} // namespace

RestartSimulation::Node::Node(std::uint32_t id, const ManualClock& clock, std::size_t waitingOpenings)
    : RouterFixture(clock, "mandaue", std::chrono::hours(1), {}, waitingOpenings ? requestTimeout : Duration::zero())
    , id(id)
    , waiting({ .maximumLength = waitingOpenings }, clock)
    , waitingRouter({ .zone = "mandaue", .flows = flows, .server = server, .load = load, .coldStartLimit = coldStartLimit, .misses = misses, .clock = clock, .waiting = &waiting })
{
    waitingRouter.setServer(id, simulatedService);
    server.applyHeartbeat({ .name = "server-" + std::to_string(id), .service = "desk", .zone = "mandaue", .slots = 5, .sequence = 1, .startedAtMs = 5 });
    router.setServer(id, simulatedService);
}

RestartSimulation::RestartSimulation(const RestartScenario& scenario)
    : m_scenario(withClasses(scenario))
    , m_random(scenario.seed)
    , m_outageEnd(m_clock.now() + scenario.outage)
    , m_table(makeTable(m_scenario))
{
    for (std::uint32_t id = 1; id <= scenario.servers; ++id) {
        m_nodes.push_back(std::make_unique<Node>(id, m_clock, scenario.waitingOpenings));
        m_nodes.back()->load.setSlots(scenario.slots);
    }
    m_outcomes.sentByClass.resize(m_scenario.classes.size());
    m_outcomes.servedByClass.resize(m_scenario.classes.size());
    m_outcomes.goodput.resize(static_cast<std::size_t>(scenario.length / goodputWindow));
}

RequestOutcomes RestartSimulation::run()
{
    for (std::size_t index = 0; index < m_scenario.classes.size(); ++index)
        scheduleArrivals(index);
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

void RestartSimulation::scheduleArrivals(std::size_t classIndex)
{
    const auto end = m_outageEnd + m_scenario.length;
    const auto mean = std::chrono::duration<double>(1 / m_scenario.classes[classIndex].rate);
    auto time = m_clock.now();
    while (true) {
        constexpr std::uint64_t steps = 1 << 20;
        const auto uniform = static_cast<double>(m_random.below(steps) + 1) / static_cast<double>(steps);
        time += std::chrono::duration_cast<Duration>(-std::log(uniform) * mean / (time < m_outageEnd + m_scenario.burstLength ? m_scenario.burstFactor : 1));
        if (time >= end)
            return;
        m_requests.push_back({ .sentAt = time, .classIndex = classIndex });
        schedule(time, [this, request = m_requests.size() - 1] { startAttempt(request); });
        ++(time < m_outageEnd ? m_outcomes.sentDuringOutage : m_outcomes.sentAfterOutage);
        if (time >= m_outageEnd)
            ++m_outcomes.sentByClass[classIndex];
        if (time >= recoveryEnd())
            ++m_outcomes.sentAfterBurst;
    }
}

bool RestartSimulation::isCurrentAttempt(std::size_t request, std::uint32_t port) const
{
    return !m_requests[request].responded && m_requests[request].port == port;
}

void RestartSimulation::startAttempt(std::size_t request)
{
    auto& state = m_requests[request];
    if (m_clock.now() - state.sentAt >= m_scenario.classes[state.classIndex].timeout)
        return;
    state.port = ++m_lastPort;
    state.opened = false;
    const auto port = state.port;
    m_attempts[flowKey(request, port)] = { request, port };
    sendSyn(request, 0, port);
    schedule(m_clock.now() + firstRetransmission, [this, request, port] { sendSyn(request, 1, port); });
    schedule(m_clock.now() + secondRetransmission, [this, request, port] { sendSyn(request, 2, port); });
    schedule(m_clock.now() + attemptTimeout, [this, request, port] { retry(request, port); });
}

void RestartSimulation::sendSyn(std::size_t request, std::uint32_t retransmissions, std::uint32_t port)
{
    if (!isCurrentAttempt(request, port) || m_requests[request].opened || m_clock.now() < m_outageEnd)
        return;
    const auto packet = packetOfCaller(synPacket(0, retransmissions), request, port);
    const auto decision = m_entryRouter.decide(packet, *m_table);
    Search search;
    search.route = { .tableVersion = m_table->version(), .serviceId = simulatedService, .serverId = decision.server->id, .incarnation = 1, .balancer = {}, .ingress = {} };
    schedule(m_clock.now() + 2 * linkDelay, [this, search, request, packet] { onPacketArrival(search, request, packet); });
}

fleet::FlowKey RestartSimulation::flowKey(std::size_t request, std::uint32_t port) const
{
    auto key = testFlow(static_cast<std::uint16_t>(port));
    key.caller.address += port >> 16;
    key.service.port += m_requests[request].classIndex;
    return key;
}

FlowPacket RestartSimulation::packetOfCaller(FlowPacket packet, std::size_t request, std::uint32_t port) const
{
    packet.key = flowKey(request, port);
    return packet;
}

FlowPacket RestartSimulation::packetOfServer(FlowPacket packet, std::size_t request, std::uint32_t port) const
{
    const auto key = flowKey(request, port);
    packet.key = { .caller = key.service, .service = key.caller };
    return packet;
}

void RestartSimulation::onPacketArrival(const Search& search, std::size_t request, const FlowPacket& packet)
{
    auto& node = *m_nodes[search.route.serverId - 1];
    applyDecision(node, router(node).decide(search, packet, view()), search, request, packet);
    releaseWaiting(node);
}

void RestartSimulation::applyDecision(Node& node, RelayDecision decision, Search search, std::size_t request, const FlowPacket& packet)
{
    if (decision.action == RelayAction::Open && node.running >= m_scenario.slots && node.queue.size() >= serverQueueLength)
        decision = router(node).decideBounced(search, packet, view());
    const auto port = m_attempts.at(packet.key).second;
    switch (decision.action) {
    case RelayAction::Open:
        openFlow(node, request, port);
        return;
    case RelayAction::Forward:
        search.advance(decision, node.id, *m_table);
        schedule(m_clock.now() + linkDelay, [this, search, request, packet] { onPacketArrival(search, request, packet); });
        return;
    case RelayAction::Reset:
        schedule(m_clock.now() + linkDelay, [this, request, port] { retry(request, port); });
        return;
    case RelayAction::Wait:
        schedule(*node.waiting.nextExpiry(), [this, &node] { releaseWaiting(node); });
        return;
    default:
        return;
    }
}

void RestartSimulation::releaseWaiting(Node& node)
{
    if (!m_scenario.waitingOpenings || (node.waiting.empty() && !node.waiting.hasDisplaced()))
        return;
    for (const auto& released : node.waitingRouter.releaseWaiting(view()))
        applyDecision(node, released.decision, released.opening.search, m_attempts.at(released.opening.packet.key).first, released.opening.packet);
}

// The server sends its SYN-ACK, and the caller then sends its request, unless it has given up the attempt.
void RestartSimulation::openFlow(Node& node, std::size_t request, std::uint32_t port)
{
    if (!m_scenario.waitingOpenings) {
        startRequest(node, request, port);
        return;
    }
    node.flows.recordServerPacket(packetOfServer(synAckPacket(5000), request, port));
    schedule(m_clock.now() + linkDelay, [this, &node, request, port] {
        if (!isCurrentAttempt(request, port) || m_requests[request].opened)
            return;
        m_requests[request].opened = true;
        constexpr std::uint64_t steps = 1024;
        if (m_scenario.requestLoss > 0 && static_cast<double>(m_random.below(steps)) < m_scenario.requestLoss * steps)
            return;
        schedule(m_clock.now() + 2 * linkDelay, [this, &node, request, port] { sendRequest(node, request, port); });
    });
    schedule(m_clock.now() + flowExpiry, [this, &node] {
        node.flows.expire();
        releaseWaiting(node);
    });
}

void RestartSimulation::sendRequest(Node& node, std::size_t request, std::uint32_t port)
{
    node.flows.recordCallerPacket(packetOfCaller(callerPacket(5000, 100), request, port));
    startRequest(node, request, port);
}

void RestartSimulation::recordGoodput(Duration work)
{
    const auto window = static_cast<std::size_t>((m_clock.now() - m_outageEnd) / goodputWindow);
    if (m_clock.now() < m_outageEnd || window >= m_outcomes.goodput.size())
        return;
    const auto capacity = goodputWindow * (m_scenario.servers * m_scenario.slots);
    m_outcomes.goodput[window] += std::chrono::duration<double>(work) / std::chrono::duration<double>(capacity);
}

void RestartSimulation::startRequest(Node& node, std::size_t request, std::uint32_t port)
{
    if (node.running >= m_scenario.slots) {
        node.queue.emplace_back(request, port);
        return;
    }
    ++node.running;
    const bool cold = m_clock.now() - m_outageEnd < m_scenario.coldTime;
    constexpr std::uint64_t steps = 1024;
    const auto spread = 1 + serviceTimeSpread * (2 * static_cast<double>(m_random.below(steps)) / steps - 1);
    const auto serviceTime = std::chrono::duration_cast<Duration>(m_scenario.classes[m_requests[request].classIndex].work * (cold ? m_scenario.coldFactor : 1) * spread / m_scenario.speeds[(node.id - 1) % m_scenario.speeds.size()]);
    schedule(m_clock.now() + serviceTime, [this, &node, request, port, serviceTime] { finishRequest(node, request, port, serviceTime); });
}

void RestartSimulation::finishRequest(Node& node, std::size_t request, std::uint32_t port, Duration work)
{
    --node.running;
    auto& state = m_requests[request];
    const auto& requestClass = m_scenario.classes[state.classIndex];
    node.flows.recordServerPacket(packetOfServer(serverPacket(5001, 100), request, port));
    const auto latency = m_clock.now() + 2 * linkDelay - state.sentAt;
    if (!state.responded && latency <= requestClass.timeout) {
        const bool inTime = latency <= requestClass.targetLatency;
        recordGoodput(work);
        if (state.sentAt < m_outageEnd)
            m_outcomes.servedFromBacklog += 1;
        else
            ++(inTime ? m_outcomes.servedInTime : m_outcomes.servedLate);
        if (state.sentAt >= m_outageEnd)
            ++m_outcomes.servedByClass[state.classIndex];
        if (state.sentAt >= recoveryEnd())
            ++m_outcomes.servedAfterBurst;
    }
    state.responded = true;
    node.flows.erase(flowKey(request, port));
    releaseWaiting(node);
    if (node.queue.empty())
        return;
    const auto [next, nextPort] = node.queue.front();
    node.queue.pop_front();
    startRequest(node, next, nextPort);
}

void RestartSimulation::retry(std::size_t request, std::uint32_t port)
{
    if (!isCurrentAttempt(request, port) || m_requests[request].opened || m_requests[request].retryCount >= m_scenario.retries)
        return;
    ++m_requests[request].retryCount;
    startAttempt(request);
}

} // namespace clementinesill::passthrough

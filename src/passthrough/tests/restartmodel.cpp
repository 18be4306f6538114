#include "passthrough/tests/restartmodel.h"

#include "fleet.pb.h"

#include <cmath>

namespace clementinesill::passthrough {

namespace {

constexpr std::uint32_t modelService = 1;
// Between any two VMs.
constexpr std::chrono::milliseconds linkDelay { 1 };
// Callers send copies of an unanswered opening packet after these times and end the attempt at the last one.
constexpr std::chrono::milliseconds firstCopy { 200 };
constexpr std::chrono::milliseconds secondCopy { 600 };
constexpr std::chrono::milliseconds attemptEnd { 1400 };
// Requests that a server queues beyond its slots; it hands others back.
constexpr std::size_t serverQueue = 20;
// Spread of the service time around its mean.
constexpr double serviceSpread = 0.5;

std::shared_ptr<const fleet::FleetTable> tableOf(const RestartLoad& load)
{
    schema::Table table;
    table.set_version(10);
    table.set_hash_seed(7);
    table.set_document_version(3);
    auto& service = *table.add_services();
    service.set_id(modelService);
    service.set_name("desk");
    for (std::uint32_t id = 1; id <= load.servers; ++id) {
        auto& server = *table.add_servers();
        server.set_id(id);
        server.set_incarnation(1);
        server.set_service_id(modelService);
        server.set_zone("mandaue");
        server.set_agent_endpoint("10.0.0." + std::to_string(id) + ":8172");
        server.set_slots(load.slots);
        server.set_state(schema::SERVER_STATE_ACTIVE);
    }
    auto& route = *table.add_routes();
    route.set_endpoint(format(testService));
    route.set_timeout_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(load.timeout).count()));
    route.set_target_latency_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(load.target).count()));
    auto& target = *route.add_targets();
    target.set_service_id(modelService);
    target.set_weight(1);
    return std::make_shared<const fleet::FleetTable>(table);
}

} // namespace

RestartModel::Node::Node(std::uint32_t id, const ManualClock& clock)
    : RouterParts(clock, "mandaue", std::chrono::hours(1))
    , id(id)
{
    server.accept({ .name = "server-" + std::to_string(id), .service = "desk", .zone = "mandaue", .slots = 5, .sequence = 1, .startedAtMs = 5 });
    router.setServer(id, modelService);
}

RestartModel::RestartModel(const RestartLoad& load)
    : m_load(load)
    , m_random(load.seed)
    , m_back(m_clock.now() + load.outage)
    , m_table(tableOf(load))
{
    for (std::uint32_t id = 1; id <= load.servers; ++id) {
        m_nodes.push_back(std::make_unique<Node>(id, m_clock));
        m_nodes.back()->load.setSlots(load.slots);
    }
}

ServedRequests RestartModel::run()
{
    scheduleArrivals();
    while (!m_events.empty()) {
        const auto first = m_events.begin();
        const auto event = std::move(first->second);
        m_clock.advance(first->first - m_clock.now());
        m_events.erase(first);
        event();
    }
    return m_served;
}

void RestartModel::at(MonotonicTime time, std::function<void()> event)
{
    m_events.emplace(time, std::move(event));
}

void RestartModel::scheduleArrivals()
{
    const auto end = m_back + m_load.length;
    const auto mean = std::chrono::duration<double>(1 / m_load.rate);
    auto time = m_clock.now();
    while (true) {
        constexpr std::uint64_t steps = 1 << 20;
        const auto share = static_cast<double>(m_random.below(steps) + 1) / static_cast<double>(steps);
        time += std::chrono::duration_cast<Duration>(-std::log(share) * mean);
        if (time >= end)
            return;
        m_requests.push_back({ .sent = time });
        at(time, [this, request = m_requests.size() - 1] { attempt(request); });
        ++(time < m_back ? m_served.during : m_served.after);
    }
}

bool RestartModel::current(std::size_t request, std::uint16_t port) const
{
    return !m_requests[request].answered && m_requests[request].port == port;
}

void RestartModel::attempt(std::size_t request)
{
    auto& state = m_requests[request];
    if (m_clock.now() - state.sent >= m_load.timeout)
        return;
    state.port = ++m_lastPort;
    const auto port = state.port;
    sendOpening(request, 0, port);
    at(m_clock.now() + firstCopy, [this, request, port] { sendOpening(request, 1, port); });
    at(m_clock.now() + secondCopy, [this, request, port] { sendOpening(request, 2, port); });
    at(m_clock.now() + attemptEnd, [this, request, port] { refused(request, port); });
}

void RestartModel::sendOpening(std::size_t request, std::uint32_t copies, std::uint16_t port)
{
    if (!current(request, port) || m_clock.now() < m_back)
        return;
    const auto packet = opening(port, copies);
    const auto decision = m_entry.decide(packet, *m_table);
    Search search;
    search.route = { .tableVersion = m_table->version(), .serviceId = modelService, .serverId = decision.server->id, .incarnation = 1, .balancer = {}, .ingress = {} };
    at(m_clock.now() + 2 * linkDelay, [this, search, request, packet] { arrive(search, request, packet); });
}

void RestartModel::arrive(Search search, std::size_t request, const FlowPacket& packet)
{
    auto& node = *m_nodes[search.route.serverId - 1];
    auto decision = node.router.decide(search, packet, view());
    if (decision.action == RelayAction::Open && node.running >= m_load.slots && node.queue.size() >= serverQueue)
        decision = node.router.decideHandedBack(search, packet, view());
    switch (decision.action) {
    case RelayAction::Open:
        start(node, request, packet.key.caller.port);
        return;
    case RelayAction::PassOn:
        search.advance(decision, node.id, m_table->version());
        at(m_clock.now() + linkDelay, [this, search, request, packet] { arrive(search, request, packet); });
        return;
    case RelayAction::Reset:
        at(m_clock.now() + linkDelay, [this, request, port = packet.key.caller.port] { refused(request, port); });
        return;
    default:
        return;
    }
}

void RestartModel::start(Node& node, std::size_t request, std::uint16_t port)
{
    if (node.running >= m_load.slots) {
        node.queue.emplace_back(request, port);
        return;
    }
    ++node.running;
    const bool cold = m_clock.now() - m_back < m_load.coldTime;
    constexpr std::uint64_t steps = 1024;
    const auto spread = 1 + serviceSpread * (2 * static_cast<double>(m_random.below(steps)) / steps - 1);
    const auto took = std::chrono::duration_cast<Duration>(m_load.serviceTime * (cold ? m_load.coldFactor : 1) * spread);
    at(m_clock.now() + took, [this, &node, request, port] { finish(node, request, port); });
}

void RestartModel::finish(Node& node, std::size_t request, std::uint16_t port)
{
    --node.running;
    auto& state = m_requests[request];
    auto answer = fromServer(5001, 100, port);
    node.flows.noteServer(answer);
    const auto latency = m_clock.now() + 2 * linkDelay - state.sent;
    if (!state.answered && latency <= m_load.timeout) {
        const bool inTime = latency <= m_load.target;
        if (state.sent < m_back)
            m_served.duringLate += 1;
        else
            ++(inTime ? m_served.afterInTime : m_served.afterLate);
    }
    state.answered = true;
    node.flows.erase(testFlow(port));
    if (node.queue.empty())
        return;
    const auto [next, nextPort] = node.queue.front();
    node.queue.pop_front();
    start(node, next, nextPort);
}

void RestartModel::refused(std::size_t request, std::uint16_t port)
{
    if (!current(request, port) || m_requests[request].tries >= m_load.retries)
        return;
    ++m_requests[request].tries;
    attempt(request);
}

} // namespace clementinesill::passthrough

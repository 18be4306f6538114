#include "passthrough/tests/placementsimulation.h"

#include "dataplane/types/loadnotice.h"
#include "passthrough/tests/testtable.h"
#include "passthrough/zonerank.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace clementinesill::passthrough {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

struct RequestClass {
    std::uint32_t priority;
    double rate;
    milliseconds work;
    milliseconds target;
    milliseconds timeout;
};

// Classes 1 and 2 of deployment P.
constexpr std::array<RequestClass, 2> classes { { { .priority = 2, .rate = 1314, .work = milliseconds(40), .target = milliseconds(300), .timeout = milliseconds(3000) },
    { .priority = 1, .rate = 375, .work = milliseconds(52), .target = milliseconds(400), .timeout = milliseconds(4000) } } };
constexpr std::uint32_t mainService = 1;
constexpr microseconds linkDelay { 500 };
constexpr milliseconds callerDelay { 1 };
// From the delivery of a SYN to the first byte of its request.
constexpr milliseconds handshake { 4 };
constexpr std::uint32_t reserve = 1;
constexpr int maximumAttempts = 3;
constexpr milliseconds attemptTimeout { 1400 };
// Servers visited to find a free slot, and in all.
constexpr std::size_t maximumSlotVisits = 4;
constexpr std::size_t maximumVisits = 8;
constexpr milliseconds maximumWait { 150 };
constexpr milliseconds busyValidity { 50 };
constexpr milliseconds fullValidity { 100 };
// Maximum relative deviation of the service time from its mean.
constexpr double workSpread = 0.5;

Endpoint routeEndpoint(std::size_t kind) { return { .address = 0xc6120001, .port = static_cast<std::uint16_t>(443 + kind) }; }

std::string zoneName(std::size_t index, const PlacementScenario& scenario) { return "zone-" + std::to_string(index % scenario.zones); }

std::shared_ptr<const fleet::FleetTable> makeTable(const PlacementScenario& scenario)
{
    auto table = makeTestTable();
    auto& service = *table.add_services();
    service.set_id(mainService);
    service.set_name("main");
    for (std::uint32_t id = 1; id <= scenario.servers; ++id)
        addTestServer(table, id, mainService, zoneName(id, scenario), scenario.slots);
    for (std::size_t kind = 0; kind < classes.size(); ++kind) {
        auto& route = *table.add_routes();
        route.set_endpoint(format(routeEndpoint(kind)));
        route.set_priority(classes[kind].priority);
        auto& target = *route.add_targets();
        target.set_service_id(mainService);
        target.set_weight(1);
    }
    return std::make_shared<const fleet::FleetTable>(table);
}

} // namespace

PlacementSimulation::Balancer::Balancer(const ManualClock& clock, const std::string& zone, bool placesByLoad)
    : view(clock)
    , router(cache, zone, placesByLoad ? &view : nullptr)
{
}

PlacementSimulation::Node::Node(std::uint32_t id, const ManualClock& clock)
    : id(id)
    , queue({}, clock)
{
}

PlacementSimulation::PlacementSimulation(const PlacementScenario& scenario)
    : m_scenario(scenario)
    , m_random(scenario.seed)
    , m_burstStart(m_clock.now() + scenario.warmUp)
    , m_burstEnd(m_burstStart + scenario.burst)
    , m_table(makeTable(scenario))
{
    for (std::size_t index = 0; index < scenario.balancers; ++index)
        m_balancers.push_back(std::make_unique<Balancer>(m_clock, zoneName(index, scenario), scenario.placesByLoad));
    for (std::uint32_t id = 1; id <= scenario.servers; ++id)
        m_nodes.push_back(std::make_unique<Node>(id, m_clock));
}

PlacementOutcomes PlacementSimulation::run()
{
    scheduleArrivals();
    while (!m_events.empty()) {
        const auto first = m_events.begin();
        const auto event = std::move(first->second);
        m_clock.advance(first->first - m_clock.now());
        m_events.erase(first);
        event();
    }
    m_outcomes.goodput = std::chrono::duration<double>(m_servedWork) / (std::chrono::duration<double>(m_scenario.burst) * (m_scenario.servers - m_scenario.failedServers) * m_scenario.slots);
    return m_outcomes;
}

void PlacementSimulation::schedule(Duration delay, std::function<void()> event)
{
    m_events.emplace(m_clock.now() + delay, std::move(event));
}

double PlacementSimulation::uniform()
{
    constexpr std::uint64_t steps = 1 << 20;
    return static_cast<double>(m_random.below(steps) + 1) / static_cast<double>(steps);
}

void PlacementSimulation::scheduleArrivals()
{
    const auto start = m_clock.now();
    for (std::size_t kind = 0; kind < classes.size(); ++kind) {
        auto time = start;
        while (time < m_burstEnd + m_scenario.tail) {
            const bool inBurst = time >= m_burstStart && time < m_burstEnd;
            const auto rate = classes[kind].rate * (inBurst ? m_scenario.burstLoad : m_scenario.baseLoad);
            time += duration_cast<Duration>(-std::log(uniform()) * std::chrono::duration<double>(1 / rate));
            auto balancer = m_random.below(m_scenario.balancers);
            const bool shifted = balancer % m_scenario.zones == m_scenario.zones - 1 && uniform() <= m_scenario.shiftedCallers;
            if (shifted)
                balancer -= m_scenario.zones - 1;
            m_requests.push_back({ .sentAt = time, .kind = kind, .balancer = balancer, .shifted = shifted });
            count(m_requests.back(), [](auto& requests) { ++requests.sent; });
            schedule(time - start, [this, request = m_requests.size() - 1] { startAttempt(request); });
        }
    }
}

// Counts a request in the outcomes that it belongs to.
template <typename Count>
void PlacementSimulation::count(const Request& request, Count&& increment)
{
    if (request.sentAt >= m_burstEnd + fullValidity)
        increment(m_outcomes.afterBurst);
    if (request.sentAt < m_burstStart || request.sentAt >= m_burstEnd)
        return;
    increment(m_outcomes.burst[request.kind]);
    increment(request.shifted ? m_outcomes.shifted : m_outcomes.unshifted);
}

void PlacementSimulation::startAttempt(std::size_t request)
{
    auto& state = m_requests[request];
    if (++state.attempts > maximumAttempts)
        return;
    ++m_attempts;
    Opening opening { .request = request, .attempt = state.attempts, .packet = {}, .visited = {} };
    opening.packet.key = { .caller = { .address = 0x64400000 + (m_attempts >> 16), .port = static_cast<std::uint16_t>(m_attempts) }, .service = routeEndpoint(state.kind) };
    opening.packet.syn = true;
    for (std::uint32_t retransmissions = 0; retransmissions < FlowPacket::synTransmitTimes.size(); ++retransmissions)
        schedule(FlowPacket::synTransmitTimes[retransmissions], [this, opening, retransmissions] { sendSyn(opening, retransmissions); });
    schedule(attemptTimeout, [this, request, attempt = state.attempts] {
        if (m_requests[request].answeredAttempt < attempt)
            startAttempt(request);
    });
}

void PlacementSimulation::sendSyn(const Opening& opening, std::uint32_t retransmissions)
{
    if (m_requests[opening.request].answeredAttempt >= opening.attempt)
        return;
    auto sent = opening;
    sent.packet.acknowledgement = retransmissions;
    schedule(callerDelay, [this, sent] { place(sent); });
}

void PlacementSimulation::place(const Opening& opening)
{
    const bool inBurst = m_clock.now() >= m_burstStart && m_clock.now() < m_burstEnd;
    const auto decision = m_balancers[m_requests[opening.request].balancer]->router.decide(opening.packet, *m_table);
    if (decision.action == EntryAction::Reset) {
        m_outcomes.rejectedAtEntry += inBurst ? 1 : 0;
        reject(opening.request, callerDelay);
        return;
    }
    m_outcomes.placed += inBurst ? 1 : 0;
    schedule(linkDelay, [this, &node = *m_nodes[decision.server->id - 1], opening] { arrive(node, opening); });
}

void PlacementSimulation::arrive(Node& node, Opening opening)
{
    if (node.id <= m_scenario.failedServers)
        return;
    if (m_clock.now() >= m_burstStart && m_clock.now() < m_burstEnd)
        ++m_outcomes.visits;
    if (node.inFlight < m_scenario.slots + reserve && node.queue.empty()) {
        deliver(node, opening);
        return;
    }
    opening.visited.push_back(node.id);
    if (opening.visited.size() < maximumSlotVisits && passOn(node, opening))
        return;
    if (wait(node, opening) || (opening.visited.size() < maximumVisits && passOn(node, opening)))
        return;
    dataplane::LoadNotice notice { .level = dataplane::LoadLevel::Full, .priority = classes[m_requests[opening.request].kind].priority, .validity = fullValidity, .servers = {} };
    notice.servers.assign(opening.visited.begin(), opening.visited.end());
    notify(opening.request, notice);
    reject(opening.request, linkDelay + callerDelay);
}

// Puts the opening into the agent's queue; false if it is rejected, as each retransmission is.
bool PlacementSimulation::wait(Node& node, const Opening& opening)
{
    if (opening.packet.synRetransmissions())
        return false;
    const auto& kind = classes[m_requests[opening.request].kind];
    const auto now = m_clock.now();
    const auto limit = std::min<Duration>(kind.target / 3, maximumWait);
    const auto timePerStart = kind.work / m_scenario.slots;
    const auto result = node.queue.push({ .priority = kind.priority, .expectedWork = kind.work, .targetTime = now + kind.target, .latestStart = now + limit }, timePerStart, timePerStart);
    rejectWaiting(node, result.displaced);
    if (!result.id)
        return false;
    node.waiting[*result.id] = opening;
    schedule(limit, [this, &node] { rejectWaiting(node, node.queue.takeExpired()); });
    return true;
}

// Forwards the opening to the next server that it has not visited; false if there is none.
bool PlacementSimulation::passOn(Node& node, const Opening& opening)
{
    const auto flowHash = fleet::hash(opening.packet.key, m_table->hashSeed());
    for (const auto* server : rankServersForZone(flowHash, m_table->service(mainService)->servers, m_table->server(node.id)->zone)) {
        if (std::ranges::find(opening.visited, server->id) != opening.visited.end())
            continue;
        schedule(linkDelay, [this, &next = *m_nodes[server->id - 1], opening] { arrive(next, opening); });
        return true;
    }
    return false;
}

void PlacementSimulation::deliver(Node& node, const Opening& opening)
{
    ++node.inFlight;
    m_requests[opening.request].answeredAttempt = opening.attempt;
    dataplane::LoadNotice notice { .level = dataplane::LoadLevel::Busy, .validity = busyValidity, .servers = {} };
    std::ranges::copy_if(opening.visited, std::back_inserter(notice.servers), [&](auto id) { return id != node.id; });
    notify(opening.request, notice);
    schedule(handshake, [this, &node, request = opening.request] { startRequest(node, request); });
}

void PlacementSimulation::startRequest(Node& node, std::size_t request)
{
    if (node.running >= m_scenario.slots) {
        node.backlog.push_back(request);
        return;
    }
    ++node.running;
    const auto spread = 1 + workSpread * (2 * uniform() - 1);
    schedule(duration_cast<Duration>(classes[m_requests[request].kind].work * spread), [this, &node, request] { finishRequest(node, request); });
}

void PlacementSimulation::finishRequest(Node& node, std::size_t request)
{
    --node.running;
    --node.inFlight;
    const auto& state = m_requests[request];
    const auto& kind = classes[state.kind];
    const auto latency = m_clock.now() + linkDelay + callerDelay - state.sentAt;
    if (latency <= kind.timeout) {
        count(state, [&](auto& requests) {
            ++requests.served;
            requests.servedInTime += latency <= kind.target ? 1 : 0;
        });
        if (m_clock.now() >= m_burstStart && m_clock.now() < m_burstEnd)
            m_servedWork += kind.work;
    }
    if (!node.backlog.empty()) {
        const auto next = node.backlog.front();
        node.backlog.pop_front();
        startRequest(node, next);
    }
    admitWaiting(node);
}

void PlacementSimulation::admitWaiting(Node& node)
{
    rejectWaiting(node, node.queue.takeExpired());
    while (node.inFlight < m_scenario.slots + reserve) {
        const auto id = node.queue.pop();
        if (!id)
            return;
        deliver(node, node.waiting.extract(*id).mapped());
    }
}

void PlacementSimulation::rejectWaiting(Node& node, const std::vector<std::uint64_t>& ids)
{
    for (const auto id : ids)
        reject(node.waiting.extract(id).mapped().request, linkDelay + callerDelay);
}

// The caller makes its next attempt once the reset arrives.
void PlacementSimulation::reject(std::size_t request, Duration delay)
{
    if (m_clock.now() >= m_burstEnd)
        m_outcomes.lastRejection = m_clock.now() - m_burstEnd;
    m_requests[request].answeredAttempt = m_requests[request].attempts;
    schedule(delay, [this, request] { startAttempt(request); });
}

void PlacementSimulation::notify(std::size_t request, const dataplane::LoadNotice& notice)
{
    if (notice.servers.empty() || uniform() <= m_scenario.lostNotices)
        return;
    schedule(linkDelay, [this, &balancer = *m_balancers[m_requests[request].balancer], notice] { balancer.view.apply(notice, *m_table); });
}

} // namespace clementinesill::passthrough

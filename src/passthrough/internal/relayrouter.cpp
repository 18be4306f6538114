#include "passthrough/relayrouter.h"

#include "agent/imisslog.h"
#include "agent/types/tableview.h"
#include "fleet/fleettable.h"
#include "fleet/serverrank.h"
#include "passthrough/coldlimit.h"
#include "passthrough/heldflows.h"
#include "passthrough/localserver.h"
#include "passthrough/serverload.h"
#include "passthrough/types/flowpacket.h"
#include "passthrough/types/search.h"
#include "passthrough/zonerank.h"

#include <utility>

namespace clementinesill::passthrough {

namespace {

// Part of the latency target that a request may spend in the queue of the last server asked; the rest is for its way and
// its work.
constexpr int worthwhileWaitDivisor = 3;
// Agents that may pass one packet on: each takes about a millisecond, and a caller's retransmission asks again.
constexpr std::uint8_t maximumHops = 200;

RelayDecision drop(RelayReason reason) { return { .action = RelayAction::Drop, .reason = reason }; }

RelayDecision reset(RelayReason reason) { return { .action = RelayAction::Reset, .reason = reason }; }

RelayDecision passTo(const fleet::ServerEntry& server, RelayReason reason)
{
    return { .action = RelayAction::PassOn, .reason = reason, .nextAgent = server.agent, .nextServerId = server.id, .nextIncarnation = server.incarnation, .nextServiceId = server.serviceId };
}

bool senderIsNewer(const Search& search, const agent::TableView& view)
{
    return search.route.tableVersion > view.table.version();
}

} // namespace

RelayRouter::RelayRouter(const RelayRouterOptions& options)
    : m_options(options)
    , m_start(options.clock.now())
{
}

void RelayRouter::setServer(std::uint32_t serverId, std::uint32_t serviceId)
{
    m_serverId = serverId;
    m_serviceId = serviceId;
}

RelayDecision RelayRouter::decide(const Search& search, const FlowPacket& packet, const agent::TableView& view)
{
    return packet.opensFlow() ? open(search, packet, view) : follow(search, packet, view);
}

RelayDecision RelayRouter::decideHandedBack(const Search& search, const FlowPacket& packet, const agent::TableView& view)
{
    m_options.flows.erase(packet.key);
    return packet.opensFlow() ? passOpening(search, packet, view, RelayReason::HandedBack) : passOn(search, packet, view, RelayReason::HandedBack);
}

RelayDecision RelayRouter::open(const Search& search, const FlowPacket& packet, const agent::TableView& view)
{
    const auto* held = m_options.flows.find(packet.key);
    if (held && held->callerSequence == packet.sequence && !held->reset)
        return { .action = RelayAction::Deliver, .reason = RelayReason::RepeatedOpening };
    const auto* route = view.table.route(packet.key.service);
    // A sender with a newer table may know a route that is not known here yet.
    if (!senderIsNewer(search, view) && !route)
        return reset(RelayReason::NoRoute);
    const auto reason = obstacle(search, serviceFor(search, packet, view), view);
    if (reason != RelayReason::Admitted && reason != RelayReason::Busy)
        return passOpening(search, packet, view, reason);
    if (reason == RelayReason::Busy) {
        const auto next = passOpening(search, packet, view, reason);
        if (next.action == RelayAction::PassOn || !worthWaiting(packet, route))
            return next;
    }
    m_options.flows.open(packet);
    m_options.cold.opened();
    return { .action = RelayAction::Open, .reason = reason == RelayReason::Busy ? RelayReason::AdmittedLast : RelayReason::Admitted };
}

// The service that the flow is for. A balancer with an older table may have chosen one that the route no longer leads to.
std::uint32_t RelayRouter::serviceFor(const Search& search, const FlowPacket& packet, const agent::TableView& view) const
{
    const auto* route = view.table.route(packet.key.service);
    if (!route || senderIsNewer(search, view) || route->hasTarget(search.route.serviceId))
        return search.route.serviceId;
    return route->serviceFor(fleet::hash(packet.key, view.table.hashSeed()));
}

// Why this server takes no new flow now; Admitted if it does.
RelayReason RelayRouter::obstacle(const Search& search, std::uint32_t serviceId, const agent::TableView& view)
{
    const auto& server = m_options.server;
    const auto* self = view.table.server(m_serverId);
    const auto* service = view.table.service(m_serviceId);
    if (!self || !service || server.left())
        return RelayReason::NoServer;
    if (serviceId != m_serviceId || search.route.serverId != m_serverId || search.route.incarnation != self->incarnation)
        return RelayReason::WrongService;
    if (server.silent())
        return RelayReason::ServerSilent;
    if (m_leaving || server.draining() || self->draining)
        return RelayReason::Draining;
    if (self->zoneOut)
        return RelayReason::ZoneOut;
    if (!m_options.cold.allows(service->coldFlowsPerSecond))
        return RelayReason::Cold;
    return m_options.load.hasFreeSlot() ? RelayReason::Admitted : RelayReason::Busy;
}

// Load pattern: callers who got no answer for a while come back all at once, beside the new ones. A queue that they fill
// makes everybody late, so whoever has waited already takes free slots only.
bool RelayRouter::worthWaiting(const FlowPacket& packet, const fleet::RouteEntry* route) const
{
    if (packet.earlierCopies())
        return false;
    if (!route)
        return true;
    const auto target = route->targetLatency.count() ? route->targetLatency : route->timeout;
    return m_options.load.expectedWait() <= target / worthwhileWaitDivisor;
}

RelayDecision RelayRouter::passOpening(const Search& search, const FlowPacket& packet, const agent::TableView& view, RelayReason obstacle) const
{
    auto decision = senderIsNewer(search, view) ? drop(RelayReason::TableTooOld) : reset(RelayReason::TakenByNobody);
    if (const auto* server = nextAccepting(search, packet, view))
        decision = passTo(*server, obstacle);
    decision.obstacle = obstacle;
    return decision;
}

const fleet::ServerEntry* RelayRouter::nextAccepting(const Search& search, const FlowPacket& packet, const agent::TableView& view) const
{
    const auto* service = view.table.service(serviceFor(search, packet, view));
    if (!service || search.visited.size() >= dataplane::maximumVisited)
        return nullptr;
    for (const auto* server : rankFromZone(fleet::hash(packet.key, view.table.hashSeed()), service->servers, m_options.zone)) {
        if (server->id != m_serverId && server->accepting() && !search.asked(server->id))
            return server;
    }
    return nullptr;
}

RelayDecision RelayRouter::follow(const Search& search, const FlowPacket& packet, const agent::TableView& view)
{
    const auto* held = m_options.flows.find(packet.key);
    if (held && m_options.flows.owns(*held, packet)) {
        if (m_options.server.silent() && !packet.rst)
            return reset(RelayReason::ServerDead);
        return { .action = RelayAction::Deliver, .reason = RelayReason::Held };
    }
    const bool young = m_options.clock.now() - m_start < m_options.flowLifetime;
    if (!held && young && !m_options.server.silent())
        return { .action = RelayAction::Ask, .reason = RelayReason::AgentYoung };
    return passOn(search, packet, view, RelayReason::NotHeld);
}

RelayDecision RelayRouter::passOn(const Search& search, const FlowPacket& packet, const agent::TableView& view, RelayReason reason)
{
    if (search.route.hops >= maximumHops)
        return drop(RelayReason::SearchBounded);
    if (const auto* server = nextHolder(search, packet, view))
        return passTo(*server, reason);
    m_options.misses.note(packet.key, packet.sequence, m_options.clock.now());
    return endSearch(search, packet, view);
}

// The servers of the packet's service come first; a route may have led elsewhere when the flow was opened, so all others
// follow. A silent server's agent is most likely gone and would end the search, so it is asked last.
const fleet::ServerEntry* RelayRouter::nextHolder(const Search& search, const FlowPacket& packet, const agent::TableView& view) const
{
    const auto flowHash = fleet::hash(packet.key, view.table.hashSeed());
    if (search.visited.size() >= dataplane::maximumVisited)
        return nextInRank(search, flowHash, view);
    const fleet::ServerEntry* silent = nullptr;
    const auto liveOf = [&](const fleet::ServiceEntry& service) -> const fleet::ServerEntry* {
        for (const auto* server : rankFromZone(flowHash, service.servers, m_options.zone)) {
            if (server->id == m_serverId || search.asked(server->id))
                continue;
            if (!server->silent)
                return server;
            silent = silent ? silent : server;
        }
        return nullptr;
    };
    const auto* first = view.table.service(search.route.serviceId);
    if (const auto* server = first ? liveOf(*first) : nullptr)
        return server;
    for (const auto& service : view.table.services()) {
        if (const auto* server = liveOf(service))
            return server;
    }
    return silent;
}

// What the visited list cannot hold is asked in the order of rank alone, which every agent finds for itself: the next one is
// the best below this server, or the best of all where the walk begins.
const fleet::ServerEntry* RelayRouter::nextInRank(const Search& search, std::uint64_t flowHash, const agent::TableView& view) const
{
    using Rank = std::pair<double, std::uint32_t>;
    const auto rankOf = [&](const fleet::ServerEntry& server) { return Rank(fleet::rendezvousScore(flowHash, server), server.id); };
    const auto* self = view.table.server(m_serverId);
    if (search.walksRank() && !self)
        return nullptr;
    const fleet::ServerEntry* best = nullptr;
    for (const auto& service : view.table.services()) {
        for (const auto& server : service.servers) {
            const bool passed = search.walksRank() && rankOf(server) >= rankOf(*self);
            if (server.id == m_serverId || passed || search.asked(server.id))
                continue;
            if (!best || rankOf(server) > rankOf(*best))
                best = &server;
        }
    }
    return best;
}

// A reset ends a live flow if its holder was not asked, so each way that may be must be ruled out first.
RelayDecision RelayRouter::endSearch(const Search& search, const FlowPacket& packet, const agent::TableView& view)
{
    if (packet.rst)
        return drop(RelayReason::ResetNotHeld);
    if (senderIsNewer(search, view))
        return drop(RelayReason::TableTooOld);
    // A walk leaves no list: whoever was left out is known only if all had the same table.
    const bool mixed = (search.route.flags & dataplane::Route::mixedTables) || view.table.version() != search.route.tableVersion;
    if (search.walksRank() && mixed)
        return drop(RelayReason::TableTooOld);
    const auto firstMiss = m_options.misses.note(packet.key, packet.sequence, m_options.clock.now());
    if (view.confirmedAt <= firstMiss || nextHolder(search, packet, view))
        return drop(RelayReason::TableUnconfirmed);
    return reset(RelayReason::HeldByNobody);
}

} // namespace clementinesill::passthrough

#include "passthrough/relayrouter.h"

#include "admission/types/queuetraits.h"
#include "agent/imisslog.h"
#include "agent/types/tableview.h"
#include "fleet/fleettable.h"
#include "fleet/serverrank.h"
#include "foundation/hash.h"
#include "passthrough/coldstartlimit.h"
#include "passthrough/flowtracker.h"
#include "passthrough/localserver.h"
#include "passthrough/roomsearch.h"
#include "passthrough/serverfailures.h"
#include "passthrough/serverload.h"
#include "passthrough/types/flowpacket.h"
#include "passthrough/types/releasedopening.h"
#include "passthrough/types/search.h"
#include "passthrough/waitingopenings.h"
#include "passthrough/zonerank.h"

#include <compare>
#include <optional>
#include <span>
#include <utility>

namespace clementinesill::passthrough {

namespace {

// Limits how many agents forward one packet. A hop takes about a millisecond, and the caller's retransmission starts a new
// search.
constexpr std::uint16_t maximumHops = 1500;

RelayDecision drop(RelayReason reason) { return { .action = RelayAction::Drop, .reason = reason }; }

RelayDecision reset(RelayReason reason) { return { .action = RelayAction::Reset, .reason = reason }; }

RelayDecision forwardTo(const fleet::ServerEntry& server, RelayReason reason)
{
    return { .action = RelayAction::Forward, .reason = reason, .nextAgent = server.agent, .nextServerId = server.id, .nextIncarnation = server.incarnation, .nextServiceId = server.serviceId };
}

// Position of a server in the traversal of a flow: by zone, then by rank, the highest score first.
class TraversalPosition {
public:
    TraversalPosition(std::uint64_t flowHash, const fleet::ServerEntry& server)
        : m_zone(hash64(std::as_bytes(std::span(server.zone)), flowHash))
        , m_rank(-fleet::rendezvousScore(flowHash, server))
        , m_id(server.id)
    {
    }

    auto operator<=>(const TraversalPosition&) const = default;

private:
    std::uint64_t m_zone;
    double m_rank;
    std::uint32_t m_id;
};

bool senderHasNewerTable(const Search& search, const agent::TableView& view)
{
    return search.route.tableVersion > view.table.version();
}

} // namespace

RelayRouter::RelayRouter(const RelayRouterOptions& options)
    : m_options(options)
    , m_searchBudget(options.clock)
    , m_recordedSince(options.clock.now())
{
}

void RelayRouter::setServer(std::uint32_t serverId, std::uint32_t serviceId)
{
    m_serverId = serverId;
    m_serviceId = serviceId;
}

void RelayRouter::probeUnknownFlows()
{
    m_recordedSince = m_options.clock.now();
}

RelayDecision RelayRouter::decide(const Search& search, const FlowPacket& packet, const agent::TableView& view)
{
    return packet.opensFlow() ? decideNewFlow(search, packet, view) : decideExistingFlow(search, packet, view);
}

RelayDecision RelayRouter::decideBounced(const Search& search, const FlowPacket& packet, const agent::TableView& view)
{
    m_options.flows.erase(packet.key);
    return packet.opensFlow() ? forwardNewFlow(search, packet, view, RelayReason::Bounced) : forwardExistingFlow(search, packet, view, RelayReason::Bounced);
}

RelayDecision RelayRouter::decideNewFlow(const Search& search, const FlowPacket& packet, const agent::TableView& view)
{
    const auto* held = m_options.flows.find(packet.key);
    if (held && held->initialCallerSequence == packet.sequence && !held->reset)
        return { .action = RelayAction::Deliver, .reason = RelayReason::SynRetransmission };
    if (m_options.waiting && m_options.waiting->holds(packet))
        return drop(RelayReason::AlreadyWaiting);
    const auto* route = view.table.route(packet.key.service);
    // A sender with a newer table may have a route that this agent's table lacks.
    if (!senderHasNewerTable(search, view) && !route)
        return reset(RelayReason::NoRoute);
    if (m_options.waiting)
        m_options.flows.abandonStalledHandshakes();
    const auto reason = checkAdmission(search, targetService(search, packet, view), view);
    if (reason != RelayReason::Admitted && reason != RelayReason::Busy)
        return forwardNewFlow(search, packet, view, reason);
    if (m_options.failures && m_options.failures->failing()) {
        const auto forwarded = forwardNewFlow(search, packet, view, RelayReason::ServerFailing);
        const bool probes = reason == RelayReason::Admitted && m_options.failures->takeProbe();
        if (forwarded.action == RelayAction::Forward && !probes)
            return forwarded;
    }
    if (reason == RelayReason::Admitted)
        return openFlow(packet, RelayReason::Admitted);
    if (m_options.waiting)
        return decideWithoutFreeSlot(search, packet, route, view);
    const auto decision = forwardNewFlow(search, packet, view, reason);
    if (decision.action == RelayAction::Forward || !mayQueue(packet, route))
        return decision;
    return openFlow(packet, RelayReason::AdmittedToQueue);
}

RelayDecision RelayRouter::openFlow(const FlowPacket& packet, RelayReason reason)
{
    m_options.flows.open(packet);
    m_options.coldStartLimit.recordFlow();
    return { .action = RelayAction::Open, .reason = reason };
}

// Answers bursts of several times the capacity. A SYN that finds no free slot waits here instead of in the server's queue, so
// that a later one with a higher priority can go before it. Retransmissions do not wait; see mayQueue().
RelayDecision RelayRouter::decideWithoutFreeSlot(const Search& search, const FlowPacket& packet, const fleet::RouteEntry* route, const agent::TableView& view)
{
    const auto forwarded = forwardNewFlow(search, packet, view, RelayReason::Busy);
    const bool mayAskOthers = search.visited.size() + 1 < serversAskedForSlot && forwarded.action == RelayAction::Forward;
    if (packet.synRetransmissions() || mayAskOthers)
        return forwarded;
    auto& waiting = *m_options.waiting;
    if (waiting.empty() && m_options.load.hasRoom())
        return openFlow(packet, RelayReason::AdmittedToQueue);
    if (search.route.flags & dataplane::Route::hasWaited)
        return forwarded;
    // A caller that opens another flow from the same port has given up the earlier one.
    waiting.erase(packet.key);
    const auto& load = m_options.load;
    const auto traits = waitingTraits(route, load.workEstimate().work(packet.key.service), m_options.clock.now());
    if (!waiting.add(packet, search, traits, load.roomExpectedIn(), load.timePerStart()))
        return forwarded;
    return { .action = RelayAction::Wait, .reason = RelayReason::WaitsForSlot, .rejectReason = RelayReason::Busy };
}

bool RelayRouter::hasFreeSlot() const
{
    return m_options.load.hasFreeSlot() && (!m_options.waiting || m_options.waiting->empty());
}

bool RelayRouter::mayRelease() const
{
    const auto* waiting = m_options.waiting;
    return waiting && (waiting->hasDisplaced() || (!waiting->empty() && m_options.load.hasRoom()));
}

std::vector<ReleasedOpening> RelayRouter::releaseWaiting(const agent::TableView& view)
{
    std::vector<ReleasedOpening> released;
    if (!m_options.waiting)
        return released;
    auto& waiting = *m_options.waiting;
    m_options.flows.abandonStalledHandshakes();
    const auto reject = [&](std::vector<WaitingOpening> openings, RelayReason reason) {
        for (auto& opening : openings) {
            // If the agent was suspended, the caller has sent another copy, which another server may have received.
            const bool callerRetransmitted = m_options.clock.now() - opening.arrivedAt >= FlowPacket::synTransmitTimes[1];
            auto decision = callerRetransmitted ? drop(reason) : reset(reason);
            decision.rejectReason = RelayReason::Busy;
            released.push_back({ .decision = decision, .opening = std::move(opening) });
        }
    };
    reject(waiting.takeDisplaced(), RelayReason::Displaced);
    reject(waiting.takeExpired(), RelayReason::WaitExpired);
    const bool accepting = checkServer(view) == RelayReason::Admitted;
    while (!waiting.empty() && (!accepting || m_options.load.hasRoom())) {
        auto opening = waiting.takeNext();
        if (!opening)
            break;
        opening->search.route.flags |= dataplane::Route::hasWaited;
        const auto decision = decideReleased(*opening, view);
        released.push_back({ .decision = decision, .opening = std::move(*opening) });
    }
    return released;
}

RelayDecision RelayRouter::decideReleased(const WaitingOpening& opening, const agent::TableView& view)
{
    const auto& [packet, search, bytes, arrivedAt] = opening;
    if (!senderHasNewerTable(search, view) && !view.table.route(packet.key.service))
        return reset(RelayReason::NoRoute);
    const auto reason = checkTarget(search, targetService(search, packet, view), view);
    return reason == RelayReason::Admitted ? openFlow(packet, RelayReason::AdmittedAfterWait) : forwardNewFlow(search, packet, view, reason);
}

// Returns the id of the service that the flow is for. A balancer with an older table may have chosen a service that is no
// longer a target of the route.
std::uint32_t RelayRouter::targetService(const Search& search, const FlowPacket& packet, const agent::TableView& view) const
{
    const auto* route = view.table.route(packet.key.service);
    if (!route || senderHasNewerTable(search, view) || route->hasTarget(search.route.serviceId))
        return search.route.serviceId;
    return route->serviceFor(fleet::hash(packet.key, view.table.hashSeed()));
}

// Returns Admitted if this server accepts a new flow, otherwise the reason for rejecting it.
RelayReason RelayRouter::checkAdmission(const Search& search, std::uint32_t serviceId, const agent::TableView& view)
{
    const auto reason = checkTarget(search, serviceId, view);
    if (reason != RelayReason::Admitted)
        return reason;
    return hasFreeSlot() ? RelayReason::Admitted : RelayReason::Busy;
}

// The checks of a new flow apart from the load of the server.
RelayReason RelayRouter::checkTarget(const Search& search, std::uint32_t serviceId, const agent::TableView& view)
{
    const auto* self = view.table.server(m_serverId);
    const auto* service = view.table.service(m_serviceId);
    if (!self || !service || m_options.server.hasShutDown())
        return RelayReason::NoServer;
    if (serviceId != m_serviceId || search.route.serverId != m_serverId || search.route.incarnation != self->incarnation)
        return RelayReason::WrongTarget;
    const auto reason = checkServer(view);
    if (reason != RelayReason::Admitted)
        return reason;
    return m_options.coldStartLimit.allows(service->coldFlowsPerSecond) ? RelayReason::Admitted : RelayReason::ColdStart;
}

// The checks that are the same for all new flows at a time.
RelayReason RelayRouter::checkServer(const agent::TableView& view) const
{
    const auto& server = m_options.server;
    const auto* self = view.table.server(m_serverId);
    if (!self || server.hasShutDown())
        return RelayReason::NoServer;
    if (server.silent())
        return RelayReason::ServerSilent;
    if (m_shuttingDown || server.draining() || self->draining)
        return RelayReason::Draining;
    return self->zoneOut ? RelayReason::ZoneOut : RelayReason::Admitted;
}

// After an outage, waiting callers retry all at once, together with new callers. If they were allowed to fill the queue, all
// requests would exceed the latency target, so a retransmitted SYN is admitted only to a free slot.
bool RelayRouter::mayQueue(const FlowPacket& packet, const fleet::RouteEntry* route) const
{
    if (packet.synRetransmissions())
        return false;
    if (!route)
        return true;
    return m_options.load.expectedQueueingDelay() <= route->responseTarget() / queueingDelayDivisor;
}

RelayDecision RelayRouter::forwardNewFlow(const Search& search, const FlowPacket& packet, const agent::TableView& view, RelayReason rejectReason) const
{
    auto decision = reset(RelayReason::RejectedByAllServers);
    if (senderHasNewerTable(search, view))
        decision = drop(RelayReason::TableStale);
    else if (packet.synRetransmissions() && mayOverlookServer(search, packet, view))
        decision = drop(RelayReason::RetransmissionNotPlaced);
    const bool lacksRoom = rejectReason == RelayReason::Busy || rejectReason == RelayReason::Bounced || rejectReason == RelayReason::ServerFailing;
    const bool searchEnds = m_options.waiting && lacksRoom && search.visited.size() + 1 >= serversAskedForRoom;
    if (const auto* server = searchEnds ? nullptr : nextAcceptingServer(search, packet, view))
        decision = forwardTo(*server, rejectReason);
    decision.rejectReason = rejectReason;
    return decision;
}

// Whether the search may end without having visited a server that accepts new flows, because its length is limited.
bool RelayRouter::mayOverlookServer(const Search& search, const FlowPacket& packet, const agent::TableView& view) const
{
    return m_options.waiting && (search.visited.size() >= dataplane::maximumVisited || nextAcceptingServer(search, packet, view));
}

const fleet::ServerEntry* RelayRouter::nextAcceptingServer(const Search& search, const FlowPacket& packet, const agent::TableView& view) const
{
    const auto* service = view.table.service(targetService(search, packet, view));
    if (!service || search.visited.size() >= dataplane::maximumVisited)
        return nullptr;
    if (m_options.waiting)
        return nextServerForRoom(search, fleet::hash(packet.key, view.table.hashSeed()), *service, view.table.route(packet.key.service), view.table, m_serverId, m_options.zone);
    for (const auto* server : rankServersForZone(fleet::hash(packet.key, view.table.hashSeed()), service->servers, m_options.zone)) {
        if (server->id != m_serverId && server->accepting() && !search.hasVisited(server->id))
            return server;
    }
    return nullptr;
}

RelayDecision RelayRouter::decideExistingFlow(const Search& search, const FlowPacket& packet, const agent::TableView& view)
{
    const auto* held = m_options.flows.find(packet.key);
    if (held && m_options.flows.matches(*held, packet)) {
        if (m_options.server.silent() && !packet.rst)
            return reset(RelayReason::ServerDead);
        return { .action = RelayAction::Deliver, .reason = RelayReason::FlowHeld };
    }
    const bool mayBeUnrecorded = m_options.clock.now() - m_recordedSince < m_options.flowLifetime;
    if (!held && mayBeUnrecorded && !m_options.server.silent())
        return { .action = RelayAction::Probe, .reason = RelayReason::AgentRecentlyStarted };
    return forwardExistingFlow(search, packet, view, RelayReason::NotHeld);
}

RelayDecision RelayRouter::forwardExistingFlow(const Search& search, const FlowPacket& packet, const agent::TableView& view, RelayReason reason)
{
    if (search.route.hops >= maximumHops)
        return drop(RelayReason::HopLimitReached);
    const bool startsTraversal = search.visited.size() >= dataplane::maximumVisited && !search.followsRankOrder();
    if (startsTraversal && !m_searchBudget.take(view.table.serverCount()))
        return drop(RelayReason::SearchBudgetSpent);
    if (const auto* server = nextCandidateHolder(search, packet, view))
        return forwardTo(*server, reason);
    m_options.misses.recordMiss(packet.key, packet.sequence, m_options.clock.now());
    return concludeSearch(search, packet, view);
}

// The servers of the packet's service come first. The route may have had other targets when the flow was opened, so the
// servers of all other services follow. The agent of a silent server is most likely gone, and a packet sent to it would end
// the search, so silent servers come last.
const fleet::ServerEntry* RelayRouter::nextCandidateHolder(const Search& search, const FlowPacket& packet, const agent::TableView& view) const
{
    const auto flowHash = fleet::hash(packet.key, view.table.hashSeed());
    if (search.visited.size() >= dataplane::maximumVisited)
        return nextServerInRankOrder(search, flowHash, view);
    const fleet::ServerEntry* firstSilent = nullptr;
    const auto nextInService = [&](const fleet::ServiceEntry& service) -> const fleet::ServerEntry* {
        for (const auto* server : rankServersForZone(flowHash, service.servers, m_options.zone)) {
            if (server->id == m_serverId || search.hasVisited(server->id))
                continue;
            if (!server->silent)
                return server;
            firstSilent = firstSilent ? firstSilent : server;
        }
        return nullptr;
    };
    const auto* packetService = view.table.service(search.route.serviceId);
    if (const auto* server = packetService ? nextInService(*packetService) : nullptr)
        return server;
    for (const auto& service : view.table.services()) {
        if (const auto* server = nextInService(service))
            return server;
    }
    return firstSilent;
}

// Once the visited list is full, the remaining servers are visited in an order that each agent computes by itself: by zone, so
// that few hops are between zones, and by rank within a zone. The next server is the first one after the server that the
// packet was for, or the first one of all at the start of the traversal. Silent servers are left out, since a search ends at an
// agent that is gone; a search that has left one out sends no reset.
const fleet::ServerEntry* RelayRouter::nextServerInRankOrder(const Search& search, std::uint64_t flowHash, const agent::TableView& view) const
{
    const auto* current = view.table.server(search.route.serverId);
    if (search.followsRankOrder() && !current)
        return nullptr;
    std::optional<TraversalPosition> currentPosition;
    if (search.followsRankOrder())
        currentPosition.emplace(flowHash, *current);
    const fleet::ServerEntry* next = nullptr;
    std::optional<TraversalPosition> nextPosition;
    for (const auto& service : view.table.services()) {
        for (const auto& server : service.servers) {
            const TraversalPosition position(flowHash, server);
            const bool alreadyVisited = currentPosition && position <= *currentPosition;
            if (server.id == m_serverId || server.silent || alreadyVisited || search.hasVisited(server.id) || (nextPosition && position >= *nextPosition))
                continue;
            next = &server;
            nextPosition = position;
        }
    }
    return next;
}

// A reset would close a live flow if the server that holds it was not visited, so every case in which a server may have been
// missed is ruled out first.
RelayDecision RelayRouter::concludeSearch(const Search& search, const FlowPacket& packet, const agent::TableView& view)
{
    if (packet.rst)
        return drop(RelayReason::ResetForUnknownFlow);
    if (senderHasNewerTable(search, view))
        return drop(RelayReason::TableStale);
    // Servers visited in rank order are not listed in the packet.
    if (search.followsRankOrder() && !search.hasVisitedAll(view.table, m_serverId))
        return drop(RelayReason::TableStale);
    const auto firstMiss = m_options.misses.recordMiss(packet.key, packet.sequence, m_options.clock.now());
    if (view.confirmedAt <= firstMiss || nextCandidateHolder(search, packet, view))
        return drop(RelayReason::TableUnconfirmed);
    return reset(RelayReason::HolderNotFound);
}

} // namespace clementinesill::passthrough

#include "agent/internal/flowrouter.h"

#include "admission/iadmission.h"
#include "agent/iflowtable.h"
#include "agent/imisslog.h"
#include "agent/internal/sequencewindow.h"
#include "agent/types/tableview.h"
#include "dataplane/types/genevemessage.h"
#include "dataplane/types/packetview.h"
#include "fleet/fleettable.h"
#include "fleet/serverrank.h"

#include <algorithm>

namespace clementinesill::agent {

namespace {

// Agents that may pass one packet on; as many as the visited list holds.
constexpr std::uint8_t maximumHops = dataplane::maximumVisited;
// Servers asked for a UDP flow before it is opened anew; leaves hops for finding a server that takes it.
constexpr std::size_t maximumDatagramSearch = 16;

FlowDecision drop(FlowReason reason) { return { .action = FlowAction::Drop, .reason = reason }; }

bool visited(const dataplane::GeneveMessage& message, std::uint32_t serverId)
{
    return std::find(message.visited.begin(), message.visited.end(), serverId) != message.visited.end();
}

bool senderIsNewer(const dataplane::GeneveMessage& message, const TableView& view)
{
    return message.route->tableVersion > view.table.version();
}

} // namespace

FlowRouter::FlowRouter(const FlowRouterOptions& options)
    : m_options(options)
{
}

FlowDecision FlowRouter::decide(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view)
{
    const auto& identity = m_options.identity;
    if (!message.route || message.serviceId != identity.serviceId || message.route->serviceId != identity.serviceId)
        return drop(FlowReason::WrongService);
    if (packet.key.service != identity.service || packet.key.protocol != identity.protocol)
        return drop(FlowReason::WrongService);
    const auto* self = view.table.server(identity.serverId);
    if (self && self->zoneOut)
        return drop(FlowReason::ZoneOut);
    if (identity.protocol == fleet::TransportProtocol::Udp)
        return routeDatagram(message, packet, view);
    return packet.opensTcpFlow() ? openTcpFlow(message, packet, view) : continueTcpFlow(message, packet, view);
}

bool FlowRouter::addressedHere(const dataplane::GeneveMessage& message) const
{
    return message.route->serverId == m_options.identity.serverId && message.route->incarnation == m_options.identity.incarnation;
}

bool FlowRouter::opensNewFlows(const dataplane::GeneveMessage& message, const TableView& view) const
{
    const auto* self = view.table.server(m_options.identity.serverId);
    return addressedHere(message) && !m_leaving && !(self && self->draining);
}

FlowDecision FlowRouter::openTcpFlow(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view)
{
    auto* entry = m_options.flows.find(packet.key);
    if (entry && entry->state != FlowState::Closing)
        return repeatSyn(message, packet, *entry);
    // RFC 9293, 3.10.7.4: only a SYN behind the ended connection's last sequence number opens a new one.
    if (entry && nearSequence(packet.sequence, entry->callerNext) && sequenceDistance(entry->callerNext, packet.sequence) < 0)
        return drop(FlowReason::StaleSyn);
    return openOrPassOn(message, packet, view);
}

FlowDecision FlowRouter::repeatSyn(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, FlowEntry& entry)
{
    entry.ingress = message.route->ingress;
    if (entry.state == FlowState::Established || packet.sequence == entry.callerSequence)
        return { .action = FlowAction::Deliver, .reason = FlowReason::RepeatedSyn };
    // The caller gave up its first attempt; the half-open flow's admission goes over to the new one.
    auto decision = open(message, packet);
    decision.reason = FlowReason::PortReused;
    decision.forgotten.push_back(packet.key);
    return decision;
}

FlowDecision FlowRouter::openOrPassOn(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view)
{
    if (opensNewFlows(message, view) && m_options.admission.admitFlow().admitted())
        return openAdmitted(message, packet);
    if (message.route->hops >= maximumHops)
        return drop(FlowReason::TooManyHops);
    auto next = nextServer(message, packet, view, fleet::acceptsNewFlows, FlowReason::NotAdmitted);
    if (next.action == FlowAction::PassOn)
        return next;
    if (senderIsNewer(message, view))
        return drop(FlowReason::TableTooOld);
    if (!addressedHere(message))
        return drop(FlowReason::WrongIncarnation);
    if (m_options.answersRefusals && opensNewFlows(message, view) && m_options.admission.admitFlowRejectedElsewhere().admitted()) {
        auto decision = openAdmitted(message, packet);
        decision.reason = FlowReason::AdmittedToRefuse;
        return decision;
    }
    return { .action = FlowAction::Reset, .reason = FlowReason::AdmittedByNobody };
}

FlowDecision FlowRouter::openAdmitted(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet)
{
    const bool reused = m_options.flows.find(packet.key);
    auto decision = open(message, packet);
    if (reused) {
        decision.reason = FlowReason::PortReused;
        decision.forgotten.push_back(packet.key);
    }
    // A flood of SYNs that nobody completes must not keep admission from others.
    if (m_options.flows.halfOpenFlows() <= m_options.halfOpenLimit)
        return decision;
    if (const auto evicted = m_options.flows.evictOldestHalfOpen()) {
        m_options.admission.releaseFlow();
        decision.forgotten.push_back(evicted->key);
    }
    return decision;
}

FlowDecision FlowRouter::open(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet)
{
    const bool tcp = packet.key.protocol == fleet::TransportProtocol::Tcp;
    m_options.flows.insert(packet.key,
        {
            .state = tcp ? FlowState::HalfOpen : FlowState::Established,
            .callerSequence = packet.sequence,
            .callerNext = packet.sequence + sequenceLength(packet),
            .ingress = message.route->ingress,
            .lastPacket = m_options.clock.now(),
        });
    return { .action = FlowAction::Open, .reason = FlowReason::Admitted };
}

FlowDecision FlowRouter::continueTcpFlow(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view)
{
    auto* entry = m_options.flows.find(packet.key);
    if (entry && belongsTo(*entry, packet))
        return deliver(message, packet, *entry);
    if (message.route->hops >= maximumHops)
        return drop(FlowReason::TooManyHops);
    auto next = nextServer(message, packet, view, fleet::isRoutable, FlowReason::NotHeld);
    return next.action == FlowAction::PassOn ? next : endSearch(message, packet, view);
}

FlowDecision FlowRouter::deliver(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, FlowEntry& entry)
{
    const auto reason = addressedHere(message) ? FlowReason::Held : FlowReason::HeldDespiteAddress;
    const bool halfOpen = entry.state == FlowState::HalfOpen;
    if (halfOpen && (packet.tcpFlags & dataplane::TcpFlags::rst)) {
        // The stack frees a half-open connection that is reset without telling anybody.
        m_options.flows.erase(packet.key);
        m_options.admission.releaseFlow();
        return { .action = FlowAction::Deliver, .reason = reason };
    }
    if (halfOpen)
        m_options.flows.setState(packet.key, FlowState::Established);
    if (entry.state == FlowState::Established)
        entry.lastPacket = m_options.clock.now();
    entry.ingress = message.route->ingress;
    noteCallerPacket(entry, packet);
    return { .action = FlowAction::Deliver, .reason = reason };
}

// A reset ends a live flow if its holder was not asked, so each way that may be must be ruled out first.
FlowDecision FlowRouter::endSearch(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view)
{
    if (packet.tcpFlags & dataplane::TcpFlags::rst)
        return drop(FlowReason::ResetNotHeld);
    if (senderIsNewer(message, view))
        return drop(FlowReason::TableTooOld);
    if (!searchedAll(view))
        return drop(FlowReason::SearchBounded);
    // The holder may have joined in a version that none of those asked has: only a confirmation from after the flow was
    // known to be missed rules that out. The caller's retransmission asks again.
    const auto firstMiss = m_options.misses.note(packet.key, packet.sequence, m_options.clock.now());
    if (view.confirmedAt < firstMiss + m_options.confirmationLag)
        return drop(FlowReason::TableUnconfirmed);
    return { .action = FlowAction::Reset, .reason = FlowReason::HeldByNobody };
}

FlowDecision FlowRouter::routeDatagram(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view)
{
    if (auto* entry = m_options.flows.find(packet.key)) {
        entry->ingress = message.route->ingress;
        entry->lastPacket = m_options.clock.now();
        return { .action = FlowAction::Deliver, .reason = addressedHere(message) ? FlowReason::Held : FlowReason::HeldDespiteAddress };
    }
    if (message.route->flags & dataplane::Route::searchEnded)
        return openOrPassOn(message, packet, view);
    if (message.route->hops >= maximumHops)
        return drop(FlowReason::TooManyHops);
    if (message.visited.size() < maximumDatagramSearch) {
        auto next = nextServer(message, packet, view, fleet::isRoutable, FlowReason::NotHeld);
        if (next.action == FlowAction::PassOn)
            return next;
    }
    if (senderIsNewer(message, view))
        return drop(FlowReason::TableTooOld);
    // Nobody holds the flow: the first in rank order that takes new flows opens it.
    dataplane::GeneveMessage unvisited;
    unvisited.route = message.route;
    auto first = nextServer(unvisited, packet, view, fleet::acceptsNewFlows, FlowReason::NotHeld);
    const auto* self = view.table.server(m_options.identity.serverId);
    const auto* other = first.action == FlowAction::PassOn ? view.table.server(first.nextServerId) : nullptr;
    const auto flowHash = fleet::hash(packet.key, view.table.hashSeed());
    const bool selfFirst = self && self->accepting() && (!other || fleet::rendezvousScore(flowHash, *self) >= fleet::rendezvousScore(flowHash, *other));
    auto decision = selfFirst || !other ? openOrPassOn(unvisited, packet, view) : first;
    decision.searchEnded = true;
    return decision;
}

bool FlowRouter::searchedAll(const TableView& view) const
{
    const auto* service = view.table.service(m_options.identity.serviceId);
    return !service || service->servers.size() <= dataplane::maximumVisited;
}

FlowDecision FlowRouter::nextServer(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view, ServerFilter filter, FlowReason reason) const
{
    const auto* service = view.table.service(m_options.identity.serviceId);
    if (message.visited.size() >= dataplane::maximumVisited)
        return drop(reason);
    if (!service)
        return nextCandidate(message, view, reason);
    const auto passes = [&](const fleet::ServerEntry& server) {
        return server.id != m_options.identity.serverId && !visited(message, server.id) && filter(server);
    };
    if (const auto* server = fleet::highestRankedPreferringLive(fleet::hash(packet.key, view.table.hashSeed()), service->servers, passes))
        return { .action = FlowAction::PassOn, .reason = reason, .nextAgent = server->agent, .nextServerId = server->id, .nextIncarnation = server->incarnation };
    return filter == fleet::isRoutable ? nextCandidate(message, view, reason) : drop(reason);
}

// Servers that a sender with a newer table knows and this agent does not.
FlowDecision FlowRouter::nextCandidate(const dataplane::GeneveMessage& message, const TableView& view, FlowReason reason) const
{
    if (!senderIsNewer(message, view))
        return drop(reason);
    for (const auto& candidate : message.candidates) {
        if (candidate.serverId == m_options.identity.serverId || visited(message, candidate.serverId))
            continue;
        return { .action = FlowAction::PassOn, .reason = reason, .nextAgent = candidate.agent, .nextServerId = candidate.serverId, .nextIncarnation = candidate.incarnation };
    }
    return drop(reason);
}

} // namespace clementinesill::agent

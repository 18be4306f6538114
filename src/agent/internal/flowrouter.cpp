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

// Maximum number of times that one packet is forwarded; equals the capacity of the visited list.
constexpr std::uint8_t maximumHops = dataplane::maximumVisited;
// Servers visited in search of a UDP flow's holder before the flow is opened as a new one. Less than maximumHops, so that
// hops remain to find a server that accepts the flow.
constexpr std::size_t maximumDatagramSearchServers = 16;

FlowDecision drop(FlowReason reason) { return { .action = FlowAction::Drop, .reason = reason }; }

bool wasVisited(const dataplane::GeneveMessage& message, std::uint32_t serverId)
{
    return std::find(message.visited.begin(), message.visited.end(), serverId) != message.visited.end();
}

bool senderHasNewerTable(const dataplane::GeneveMessage& message, const TableView& view)
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
    return packet.opensTcpFlow() ? handleSyn(message, packet, view) : routeTcpSegment(message, packet, view);
}

bool FlowRouter::isAddressedToSelf(const dataplane::GeneveMessage& message) const
{
    return message.route->serverId == m_options.identity.serverId && message.route->incarnation == m_options.identity.incarnation;
}

bool FlowRouter::mayOpenFlow(const dataplane::GeneveMessage& message, const TableView& view) const
{
    const auto* self = view.table.server(m_options.identity.serverId);
    return isAddressedToSelf(message) && !m_shuttingDown && !(self && self->draining);
}

FlowDecision FlowRouter::handleSyn(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view)
{
    auto* entry = m_options.flows.find(packet.key);
    if (entry && entry->state != FlowState::Closing)
        return handleSynOfOpenFlow(message, packet, *entry);
    // RFC 9293, 3.10.7.4: only a SYN beyond the last sequence number of the closed connection opens a new one.
    if (entry && areSequencesNear(packet.sequence, entry->callerNext) && sequenceDistance(entry->callerNext, packet.sequence) < 0)
        return drop(FlowReason::StaleSyn);
    return openOrForward(message, packet, view);
}

FlowDecision FlowRouter::handleSynOfOpenFlow(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, FlowEntry& entry)
{
    entry.ingress = message.route->ingress;
    if (entry.state == FlowState::Established || packet.sequence == entry.callerSequence)
        return { .action = FlowAction::Deliver, .reason = FlowReason::SynRetransmission };
    // The caller started a new connection attempt from the same port; the new flow takes over the half-open flow's admission.
    auto decision = openFlow(message, packet);
    decision.reason = FlowReason::PortReused;
    decision.connectionsToForget.push_back(packet.key);
    return decision;
}

FlowDecision FlowRouter::openOrForward(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view)
{
    if (mayOpenFlow(message, view) && m_options.admission.admitFlow().admitted())
        return openAdmittedFlow(message, packet);
    if (message.route->hops >= maximumHops)
        return drop(FlowReason::HopLimitReached);
    auto next = forwardToNextServer(message, packet, view, fleet::acceptsNewFlows, FlowReason::NotAdmitted);
    if (next.action == FlowAction::Forward)
        return next;
    if (senderHasNewerTable(message, view))
        return drop(FlowReason::TableStale);
    if (!isAddressedToSelf(message))
        return drop(FlowReason::WrongIncarnation);
    if (m_options.canRejectRequests && mayOpenFlow(message, view) && m_options.admission.admitFlowRejectedElsewhere().admitted()) {
        auto decision = openAdmittedFlow(message, packet);
        decision.reason = FlowReason::AdmittedToReject;
        return decision;
    }
    return { .action = FlowAction::Reset, .reason = FlowReason::RejectedByAllServers };
}

FlowDecision FlowRouter::openAdmittedFlow(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet)
{
    const bool reused = m_options.flows.find(packet.key);
    auto decision = openFlow(message, packet);
    if (reused) {
        decision.reason = FlowReason::PortReused;
        decision.connectionsToForget.push_back(packet.key);
    }
    // A SYN flood must not use up the admission of other callers.
    if (m_options.flows.halfOpenFlowCount() <= m_options.halfOpenLimit)
        return decision;
    if (const auto evicted = m_options.flows.evictOldestHalfOpen()) {
        m_options.admission.releaseFlow();
        decision.connectionsToForget.push_back(evicted->key);
    }
    return decision;
}

FlowDecision FlowRouter::openFlow(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet)
{
    const bool tcp = packet.key.protocol == fleet::TransportProtocol::Tcp;
    m_options.flows.insert(packet.key,
        {
            .state = tcp ? FlowState::HalfOpen : FlowState::Established,
            .callerSequence = packet.sequence,
            .callerNext = packet.sequence + sequenceLength(packet),
            .ingress = message.route->ingress,
            .lastActivity = m_options.clock.now(),
        });
    return { .action = FlowAction::Open, .reason = FlowReason::Admitted };
}

FlowDecision FlowRouter::routeTcpSegment(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view)
{
    auto* entry = m_options.flows.find(packet.key);
    if (entry && belongsTo(*entry, packet))
        return deliver(message, packet, *entry);
    if (message.route->hops >= maximumHops)
        return drop(FlowReason::HopLimitReached);
    auto next = forwardToNextServer(message, packet, view, fleet::isRoutable, FlowReason::NotHeld);
    return next.action == FlowAction::Forward ? next : concludeSearch(message, packet, view);
}

FlowDecision FlowRouter::deliver(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, FlowEntry& entry)
{
    const auto reason = isAddressedToSelf(message) ? FlowReason::FlowHeld : FlowReason::HeldForOtherTarget;
    const bool halfOpen = entry.state == FlowState::HalfOpen;
    if (halfOpen && (packet.tcpFlags & dataplane::TcpFlags::rst)) {
        // The TCP stack frees a half-open connection on a reset without notifying the flow server.
        m_options.flows.erase(packet.key);
        m_options.admission.releaseFlow();
        return { .action = FlowAction::Deliver, .reason = reason };
    }
    if (halfOpen)
        m_options.flows.setState(packet.key, FlowState::Established);
    if (entry.state == FlowState::Established)
        entry.lastActivity = m_options.clock.now();
    entry.ingress = message.route->ingress;
    recordCallerPacket(entry, packet);
    return { .action = FlowAction::Deliver, .reason = reason };
}

// A reset would break a live flow if the search missed its holder. Each way in which that can happen is ruled out first.
FlowDecision FlowRouter::concludeSearch(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view)
{
    if (packet.tcpFlags & dataplane::TcpFlags::rst)
        return drop(FlowReason::ResetForUnknownFlow);
    if (senderHasNewerTable(message, view))
        return drop(FlowReason::TableStale);
    if (!canSearchAllServers(view))
        return drop(FlowReason::SearchIncomplete);
    // The holder may have registered in a table version that none of the visited agents has. Only a confirmation of the
    // table that is newer than the first miss rules that out. Until then, the caller's retransmission repeats the search.
    const auto firstMiss = m_options.misses.recordMiss(packet.key, packet.sequence, m_options.clock.now());
    if (view.confirmedAt < firstMiss + m_options.confirmationLag)
        return drop(FlowReason::TableUnconfirmed);
    return { .action = FlowAction::Reset, .reason = FlowReason::HolderNotFound };
}

FlowDecision FlowRouter::routeDatagram(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view)
{
    if (auto* entry = m_options.flows.find(packet.key)) {
        entry->ingress = message.route->ingress;
        entry->lastActivity = m_options.clock.now();
        return { .action = FlowAction::Deliver, .reason = isAddressedToSelf(message) ? FlowReason::FlowHeld : FlowReason::HeldForOtherTarget };
    }
    if (message.route->flags & dataplane::Route::searchEnded)
        return openOrForward(message, packet, view);
    if (message.route->hops >= maximumHops)
        return drop(FlowReason::HopLimitReached);
    if (message.visited.size() < maximumDatagramSearchServers) {
        auto next = forwardToNextServer(message, packet, view, fleet::isRoutable, FlowReason::NotHeld);
        if (next.action == FlowAction::Forward)
            return next;
    }
    if (senderHasNewerTable(message, view))
        return drop(FlowReason::TableStale);
    // No server holds the flow: the first server in rank order that accepts new flows opens it. This second search starts
    // with an empty visited list.
    dataplane::GeneveMessage unvisited;
    unvisited.route = message.route;
    auto first = forwardToNextServer(unvisited, packet, view, fleet::acceptsNewFlows, FlowReason::NotHeld);
    const auto* self = view.table.server(m_options.identity.serverId);
    const auto* other = first.action == FlowAction::Forward ? view.table.server(first.nextServerId) : nullptr;
    const auto flowHash = fleet::hash(packet.key, view.table.hashSeed());
    const bool ranksFirst = self && self->accepting() && (!other || fleet::rendezvousScore(flowHash, *self) >= fleet::rendezvousScore(flowHash, *other));
    auto decision = ranksFirst || !other ? openOrForward(unvisited, packet, view) : first;
    decision.searchEnded = true;
    return decision;
}

bool FlowRouter::canSearchAllServers(const TableView& view) const
{
    const auto* service = view.table.service(m_options.identity.serviceId);
    return !service || service->servers.size() <= dataplane::maximumVisited;
}

FlowDecision FlowRouter::forwardToNextServer(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view, ServerFilter filter, FlowReason reason) const
{
    const auto* service = view.table.service(m_options.identity.serviceId);
    if (message.visited.size() >= dataplane::maximumVisited)
        return drop(reason);
    if (!service)
        return forwardToNextCandidate(message, view, reason);
    const auto passes = [&](const fleet::ServerEntry& server) {
        return server.id != m_options.identity.serverId && !wasVisited(message, server.id) && filter(server);
    };
    if (const auto* server = fleet::highestRankedPreferringLive(fleet::hash(packet.key, view.table.hashSeed()), service->servers, passes))
        return { .action = FlowAction::Forward, .reason = reason, .nextAgent = server->agent, .nextServerId = server->id, .nextIncarnation = server->incarnation };
    return filter == fleet::isRoutable ? forwardToNextCandidate(message, view, reason) : drop(reason);
}

// The candidates are servers that a sender with a newer table has listed and that may be missing from this agent's table.
FlowDecision FlowRouter::forwardToNextCandidate(const dataplane::GeneveMessage& message, const TableView& view, FlowReason reason) const
{
    if (!senderHasNewerTable(message, view))
        return drop(reason);
    for (const auto& candidate : message.candidates) {
        if (candidate.serverId == m_options.identity.serverId || wasVisited(message, candidate.serverId))
            continue;
        return { .action = FlowAction::Forward, .reason = reason, .nextAgent = candidate.agent, .nextServerId = candidate.serverId, .nextIncarnation = candidate.incarnation };
    }
    return drop(reason);
}

} // namespace clementinesill::agent

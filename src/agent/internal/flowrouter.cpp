#include "agent/internal/flowrouter.h"

#include "admission/iadmission.h"
#include "agent/iflowtable.h"
#include "dataplane/types/genevemessage.h"
#include "dataplane/types/packetview.h"
#include "fleet/fleettable.h"
#include "fleet/serverrank.h"

#include <algorithm>

namespace clementinesill::agent {

namespace {

FlowDecision passOn(const fleet::ServerEntry& server, FlowReason reason)
{
    return { .action = FlowAction::PassOn, .reason = reason, .nextAgent = server.agent, .nextServerId = server.id, .nextIncarnation = server.incarnation };
}

} // namespace

FlowRouter::FlowRouter(const ServerIdentity& identity, IFlowTable& flows, admission::IAdmission& admission, const IClock& clock)
    : m_identity(identity)
    , m_flows(flows)
    , m_admission(admission)
    , m_clock(clock)
{
}

FlowDecision FlowRouter::decide(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const fleet::FleetTable& table)
{
    if (!message.route || message.serviceId != m_identity.serviceId || message.route->serviceId != m_identity.serviceId)
        return { .action = FlowAction::Drop, .reason = FlowReason::WrongService };
    if (packet.key.service != m_identity.service || packet.key.protocol != m_identity.protocol)
        return { .action = FlowAction::Drop, .reason = FlowReason::WrongService };
    if (message.route->serverId != m_identity.serverId || message.route->incarnation != m_identity.incarnation)
        return { .action = FlowAction::Drop, .reason = FlowReason::WrongIncarnation };
    const auto* self = table.server(m_identity.serverId);
    if (self && self->zoneOut)
        return { .action = FlowAction::Drop, .reason = FlowReason::ZoneOut };
    return packet.opensTcpFlow() ? openFlow(message, packet, table) : continueFlow(message, packet, table);
}

FlowDecision FlowRouter::openFlow(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const fleet::FleetTable& table)
{
    if (auto* entry = m_flows.find(packet.key)) {
        entry->ingress = message.route->ingress;
        return { .action = FlowAction::Deliver, .reason = FlowReason::RepeatedSyn };
    }
    if (m_admission.admitFlow().admitted()) {
        m_flows.insert(packet.key, { .callerSequence = packet.sequence, .ingress = message.route->ingress, .lastPacket = m_clock.now() });
        return { .action = FlowAction::Open, .reason = FlowReason::Admitted };
    }
    if (const auto* next = nextServer(message, packet, table, fleet::takesNewFlows))
        return passOn(*next, FlowReason::NotAdmitted);
    return { .action = FlowAction::Reset, .reason = FlowReason::AdmittedByNobody };
}

FlowDecision FlowRouter::continueFlow(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const fleet::FleetTable& table)
{
    auto* entry = m_flows.find(packet.key);
    if (entry && holds(*entry, packet)) {
        entry->ingress = message.route->ingress;
        entry->lastPacket = m_clock.now();
        return { .action = FlowAction::Deliver, .reason = FlowReason::Held };
    }
    if (const auto* next = nextServer(message, packet, table, fleet::isReachable))
        return passOn(*next, FlowReason::NotHeld);
    if (packet.tcpFlags & dataplane::TcpFlags::rst)
        return { .action = FlowAction::Drop, .reason = FlowReason::ResetNotHeld };
    if (message.route->tableVersion > table.version())
        return { .action = FlowAction::Drop, .reason = FlowReason::TableTooOld };
    return { .action = FlowAction::Reset, .reason = FlowReason::HeldByNobody };
}

bool FlowRouter::holds(FlowEntry& entry, const dataplane::PacketView& packet) const
{
    if (entry.state != FlowState::HalfOpen)
        return true;
    // A repeated SYN may have opened the same flow at two agents: the ACK belongs to the one whose SYN-ACK it answers.
    if (!(packet.tcpFlags & dataplane::TcpFlags::ack) || !entry.synAckSent || packet.acknowledgement != entry.ownSequence + 1)
        return false;
    entry.state = FlowState::Established;
    return true;
}

const fleet::ServerEntry* FlowRouter::nextServer(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const fleet::FleetTable& table, ServerFilter filter) const
{
    const auto* service = table.service(m_identity.serviceId);
    if (!service || message.visited.size() >= dataplane::maximumVisited)
        return nullptr;
    const auto passes = [&](const fleet::ServerEntry& server) {
        const bool asked = server.id == m_identity.serverId || std::find(message.visited.begin(), message.visited.end(), server.id) != message.visited.end();
        return !asked && filter(server);
    };
    return fleet::firstInRank(fleet::hash(packet.key, table.hashSeed()), service->servers, passes);
}

} // namespace clementinesill::agent

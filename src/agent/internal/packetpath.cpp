#include "agent/internal/packetpath.h"

#include "admin/decisiontrace.h"
#include "agent/iflowrouter.h"
#include "agent/iflowtable.h"
#include "agent/internal/nexthop.h"
#include "agent/internal/sequencewindow.h"
#include "agent/resetpacket.h"
#include "agent/types/flowdecision.h"
#include "agent/types/tableview.h"
#include "dataplane/genevecodec.h"
#include "dataplane/packetparser.h"
#include "dataplane/types/genevemessage.h"
#include "dataplane/types/packetview.h"
#include "fleet/fleettable.h"
#include "fleet/itablesource.h"
#include "net/udpsocket.h"
#include "tcpstack/itcpstack.h"

#include <boost/asio/use_awaitable.hpp>
#include <netinet/in.h>
#include <sys/socket.h>

namespace clementinesill::agent {

namespace asio = boost::asio;

namespace {

constexpr std::size_t maximumDatagramBytes = 9216;
// Maximum number of datagrams read before other handlers of the event loop run.
constexpr int datagramsPerBatch = 64;

// The flow table's key for a packet from the service to the caller.
fleet::FlowKey reversed(const fleet::FlowKey& key)
{
    return { .caller = key.service, .service = key.caller, .protocol = key.protocol };
}

} // namespace

PacketPath::PacketPath(asio::io_context& loop, const PacketPathOptions& options)
    : m_options(options)
    , m_socket(loop, net::openUdpSocket({ .endpoint = options.endpoint, .nonBlocking = true }))
    , m_buffer(maximumDatagramBytes)
    , m_sentPackets(options.metrics.counter("agent_packets_sent_total"))
{
}

asio::awaitable<void> PacketPath::run(tcpstack::ITcpStack& stack)
{
    while (true) {
        co_await m_socket.async_wait(asio::posix::stream_descriptor::wait_read, asio::use_awaitable);
        readDatagrams(stack);
    }
}

void PacketPath::readDatagrams(tcpstack::ITcpStack& stack)
{
    for (int count = 0; count < datagramsPerBatch; ++count) {
        const auto length = recv(m_socket.native_handle(), m_buffer.data(), m_buffer.size(), 0);
        if (length < 0)
            return;
        handleDatagram(std::span(m_buffer).first(static_cast<std::size_t>(length)), stack);
    }
}

void PacketPath::handleDatagram(std::span<const std::byte> datagram, tcpstack::ITcpStack& stack)
{
    dataplane::GeneveMessage message;
    auto error = dataplane::decodeGeneve(datagram, message);
    dataplane::PacketView packet;
    if (error == dataplane::PacketError::None)
        error = dataplane::parsePacket(message.payload, packet);
    if (error != dataplane::PacketError::None) {
        ++m_options.metrics.counter("agent_malformed_total", { { "error", std::string(name(error)) } });
        return;
    }
    const auto table = m_options.tables.table();
    if (message.route && message.route->tableVersion > table->version())
        m_options.tables.recordSeenVersion(message.route->tableVersion);
    const auto decision = m_options.router.decide(message, packet, { .table = *table, .confirmedAt = m_options.tables.confirmedAt() });
    countDecision(decision);
    traceDecision(decision, packet, *table);
    for (const auto& key : decision.connectionsToForget)
        stack.discardConnection(key.caller);
    applyDecision(decision, message, packet, stack);
}

void PacketPath::traceDecision(const FlowDecision& decision, const dataplane::PacketView& packet, const fleet::FleetTable& table)
{
    if (decision.reason == FlowReason::FlowHeld)
        return;
    schema::DecisionRecord record;
    record.set_time_ms(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()));
    record.set_flow(clementinesill::format(packet.key.caller));
    record.set_decision(std::string(name(decision.action)));
    record.set_reason(std::string(name(decision.reason)));
    record.set_version(table.version());
    const auto serverId = decision.action == FlowAction::Forward ? decision.nextServerId : m_options.identity.serverId;
    if (const auto* server = table.server(serverId))
        record.set_server(server->name);
    if (const auto* service = table.service(m_options.identity.serviceId))
        record.set_service(service->name);
    m_options.trace.record(std::move(record));
}

void PacketPath::applyDecision(const FlowDecision& decision, dataplane::GeneveMessage& message, const dataplane::PacketView& packet, tcpstack::ITcpStack& stack)
{
    switch (decision.action) {
    case FlowAction::Deliver:
    case FlowAction::Open:
        if ((message.route->flags & dataplane::Route::forwardedByAgent) || decision.reason == FlowReason::HeldForOtherTarget)
            notifyBalancer(message, packet);
        stack.input(packet.bytes);
        return;
    case FlowAction::Forward:
        forward(decision, message, packet);
        return;
    case FlowAction::Reset:
        send({}, resetPacket(packet), message.route->ingress);
        return;
    case FlowAction::Drop:
        return;
    }
}

void PacketPath::countDecision(const FlowDecision& decision)
{
    const auto reason = static_cast<std::size_t>(decision.reason);
    if (reason >= m_decisionCounters.size())
        m_decisionCounters.resize(reason + 1);
    if (!m_decisionCounters[reason])
        m_decisionCounters[reason] = &m_options.metrics.counter("agent_packets_total", { { "reason", std::string(name(decision.reason)) } });
    ++*m_decisionCounters[reason];
}

void PacketPath::forward(const FlowDecision& decision, dataplane::GeneveMessage& message, const dataplane::PacketView& packet)
{
    addressNextHop(message, packet, decision, m_options.identity, *m_options.tables.table());
    send(message, packet.bytes, decision.nextAgent);
}

void PacketPath::notifyBalancer(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet)
{
    dataplane::GeneveMessage notification;
    notification.serviceId = message.serviceId;
    notification.control = true;
    notification.holder = dataplane::FlowHolder { .key = packet.key, .serverId = m_options.identity.serverId, .incarnation = m_options.identity.incarnation };
    send(notification, {}, message.route->balancer);
}

void PacketPath::sendPacket(std::span<const std::byte> packet)
{
    dataplane::PacketView view;
    if (dataplane::parsePacket(packet, view) != dataplane::PacketError::None)
        return;
    auto* entry = m_options.flows.find(reversed(view.key));
    if (!entry)
        return;
    recordOwnPacket(*entry, view);
    send({}, packet, entry->ingress);
}

void PacketPath::send(const dataplane::GeneveMessage& message, std::span<const std::byte> packet, const Endpoint& target)
{
    if (m_sendingSuspended)
        return;
    std::array<std::byte, dataplane::maximumGeneveHeaderBytes> header;
    const auto headerBytes = dataplane::encodeGeneveHeader(message, header);
    if (net::sendDatagram(m_socket.native_handle(), std::span(header).first(headerBytes), packet, target))
        ++m_sentPackets;
}

} // namespace clementinesill::agent

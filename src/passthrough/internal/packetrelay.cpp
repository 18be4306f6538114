#include "passthrough/internal/packetrelay.h"

#include "agent/types/tableview.h"
#include "dataplane/genevecodec.h"
#include "fleet/fleettable.h"
#include "fleet/itablesource.h"
#include "foundation/histogram.h"
#include "foundation/log.h"
#include "passthrough/flowtracker.h"
#include "passthrough/internal/decisionlog.h"
#include "passthrough/ipacketformat.h"
#include "passthrough/loadreport.h"
#include "passthrough/localserver.h"
#include "passthrough/relayrouter.h"
#include "passthrough/serverload.h"
#include "passthrough/types/releasedopening.h"
#include "passthrough/waitingopenings.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

namespace clementinesill::passthrough {

namespace asio = boost::asio;

namespace {

// Packets delivered to the server whose searches can be continued if it bounces them; covers some seconds of a busy server.
constexpr std::size_t pendingCapacity = 2048;
// Packets that wait at the same time for the leader to confirm the table.
constexpr std::size_t unconfirmedCapacity = 512;

} // namespace

PacketRelay::PacketRelay(asio::io_context& loop, const PacketRelayOptions& options)
    : m_loop(loop)
    , m_options(options)
    , m_daemonSocket(loop, options.daemonEndpoint)
    , m_serverSocket(loop, options.serverPacketEndpoint)
    , m_pending(pendingCapacity)
    , m_unconfirmed(options.clock, unconfirmedCapacity)
    , m_callerWaitTime(options.metrics.histogram("opening_wait_seconds"))
    , m_waitTimer(loop)
    , m_holdTimes(options.metrics, "opening_hold_seconds")
    , m_loadNotices(options.metrics.counter("load_notices_sent_total"))
    , m_tableNotices(options.metrics.counter("table_notices_sent_total"))
{
    for (std::size_t reason = 0; reason < m_decisionCounters.size(); ++reason)
        m_decisionCounters[reason] = &options.metrics.counter("relay_packets_total", { { "reason", std::string(name(static_cast<RelayReason>(reason))) } });
}

void PacketRelay::start()
{
    asio::co_spawn(m_loop, m_daemonSocket.run([this](auto datagram) { onDaemonPacket(datagram); }), asio::detached);
    asio::co_spawn(m_loop, m_serverSocket.run([this](auto datagram) { onServerPacket(datagram); }), asio::detached);
}

void PacketRelay::setServer(std::uint32_t serverId, std::uint32_t incarnation)
{
    m_serverId = serverId;
    m_incarnation = incarnation;
}

void PacketRelay::onDaemonPacket(std::span<std::byte> datagram)
{
    m_options.localServer.recordAgentActivity();
    dataplane::GeneveMessage message;
    if (dataplane::decodeGeneve(datagram, message) != dataplane::PacketError::None || !message.route) {
        ++m_options.metrics.counter("relay_malformed_total");
        return;
    }
    const auto offset = static_cast<std::size_t>(message.payload.data() - datagram.data());
    const auto bytes = datagram.subspan(offset, message.payload.size());
    const auto packet = m_options.format.decode(bytes);
    if (!packet) {
        ++m_options.metrics.counter("relay_malformed_total");
        return;
    }
    const auto table = m_options.tables.table();
    if (table->version() != m_tableVersion) {
        m_tableVersion = table->version();
        if (std::exchange(m_documentVersion, table->documentVersion()) != table->documentVersion())
            m_documentSince = m_tableVersion;
        m_options.onTableChanged(*table);
    }
    if (message.route->tableVersion > table->version())
        m_options.tables.recordSeenVersion(message.route->tableVersion);
    const Search search { .route = *message.route, .visited = message.visited, .newestKnownServer = message.newestKnownServer };
    const auto decision = m_options.router.decide(search, *packet, view(*table));
    applyDecision(decision, search, *packet, bytes);
    releaseIfDue();
}

void PacketRelay::onServerPacket(std::span<std::byte> datagram)
{
    const auto packet = m_options.format.decode(datagram);
    if (!packet) {
        ++m_options.metrics.counter("relay_malformed_total");
        return;
    }
    m_options.localServer.recordServerActivity();
    if (packet->bounced) {
        onBouncedPacket(datagram, *packet);
    } else {
        m_options.flows.recordServerPacket(*packet);
        sendToCaller(packet->flowOfServerPacket(), datagram);
    }
    releaseIfDue();
}

void PacketRelay::onBouncedPacket(std::span<std::byte> datagram, const FlowPacket& packet)
{
    const auto table = m_options.tables.table();
    Search search;
    if (const auto* pending = m_pending.find(packet.mark)) {
        search = *pending;
    } else {
        // The server no longer holds the flow: start a new search here.
        const auto* self = table->server(m_serverId);
        search.route = { .tableVersion = table->version(), .serviceId = self ? self->serviceId : 0, .serverId = m_serverId, .incarnation = m_incarnation, .balancer = {}, .ingress = {} };
    }
    m_options.format.setMark(datagram, 0);
    applyDecision(m_options.router.decideBounced(search, packet, view(*table)), search, packet, datagram);
}

void PacketRelay::applyDecision(const RelayDecision& decision, const Search& search, const FlowPacket& packet, std::span<std::byte> bytes)
{
    recordDecision(decision, search, packet);
    if (m_options.sendLoadNotices && packet.opensFlow())
        reportLoad(decision, search, packet);
    if (packet.opensFlow())
        reportNewerTable(search);
    switch (decision.action) {
    case RelayAction::Deliver:
    case RelayAction::Open:
        if (search.route.flags & dataplane::Route::forwardedByAgent)
            notifyBalancer(search, packet.key);
        deliverToServer(packet, bytes, decision.action == RelayAction::Open ? m_pending.store(search) : 0);
        return;
    case RelayAction::Probe:
        deliverToServer(packet, bytes, m_pending.store(search));
        return;
    case RelayAction::Forward:
        forwardToAgent(decision, search, bytes);
        return;
    case RelayAction::Reset:
        sendToCaller(packet.key, m_options.format.makeReset(packet));
        return;
    case RelayAction::Drop:
        if (decision.reason == RelayReason::TableUnconfirmed) {
            m_unconfirmed.add(packet, search);
            m_options.requestConfirmation();
        }
        return;
    case RelayAction::Wait:
        m_options.waiting->setBytes(packet.key, bytes);
        scheduleNextExpiry();
        return;
    }
}

void PacketRelay::releaseIfDue()
{
    if (m_options.router.mayRelease())
        releaseWaiting();
}

void PacketRelay::releaseWaiting()
{
    if (!m_options.waiting || (m_options.waiting->empty() && !m_options.waiting->hasDisplaced()))
        return;
    const auto table = m_options.tables.table();
    for (auto& released : m_options.router.releaseWaiting(view(*table))) {
        const auto& opening = released.opening;
        m_holdTimes.record(opening.packet.key.service, m_options.clock.now() - opening.arrivedAt, *table);
        applyDecision(released.decision, opening.search, opening.packet, released.opening.bytes);
    }
    scheduleNextExpiry();
}

void PacketRelay::scheduleNextExpiry()
{
    const auto next = m_options.waiting->nextExpiry();
    // A timer that expires too early is set again then.
    if (!next || (m_timerExpiry && *m_timerExpiry <= *next))
        return;
    m_timerExpiry = next;
    m_waitTimer.expires_after(*next - m_options.clock.now());
    m_waitTimer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        m_timerExpiry.reset();
        releaseWaiting();
    });
}

void PacketRelay::reportLoad(const RelayDecision& decision, const Search& search, const FlowPacket& packet)
{
    const auto table = m_options.tables.table();
    const auto* route = table->route(packet.key.service);
    const auto notice = makeLoadNotice(decision, search, packet, m_serverId, route ? route->priority : 0);
    if (!notice)
        return;
    dataplane::GeneveMessage message;
    message.loadNotice = notice;
    if (sendToBalancer(search, message))
        ++m_loadNotices;
}

// The balancer chose by an older configuration. Its controller may be silent, while agents act by the newer one already.
void PacketRelay::reportNewerTable(const Search& search)
{
    if (search.route.tableVersion >= m_documentSince)
        return;
    dataplane::GeneveMessage message;
    message.newerTableVersion = m_documentSince;
    if (sendToBalancer(search, message))
        ++m_tableNotices;
}

void PacketRelay::recordDecision(const RelayDecision& decision, const Search& search, const FlowPacket& packet)
{
    ++*m_decisionCounters.at(static_cast<std::size_t>(decision.reason));
    if (decision.action == RelayAction::Deliver && decision.reason == RelayReason::FlowHeld && !(search.route.flags & dataplane::Route::forwardedByAgent))
        return;
    logDecision(decision, search, packet, decisionContext(packet));
    if (!packet.opensFlow() || decision.reason == RelayReason::SynRetransmission)
        return;
    if (decision.action == RelayAction::Open)
        m_callerWaitTime.record(std::chrono::duration<double>(packet.callerWaitTime()).count());
    // The server admits waiting SYNs while it has no room for others.
    if (decision.reason == RelayReason::AdmittedAfterWait)
        return;
    if (const auto state = m_admissionMonitor.update(decision.rejectReason))
        log(LogLevel::Info, *state == RelayReason::Admitted ? "admission_opened" : "admission_closed", { { .key = logkey::reason, .value = std::string(name(*state)) }, { .key = "outstanding", .value = std::to_string(m_options.load.outstanding()) }, { .key = "table", .value = std::to_string(m_tableVersion) } });
}

RelayDecisionContext PacketRelay::decisionContext(const FlowPacket& packet) const
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto confirmedAt = m_options.tables.leaderConfirmedAt();
    const auto* held = m_options.flows.find(packet.key);
    return {
        .tableVersion = m_tableVersion,
        .tableAge = confirmedAt == MonotonicTime() ? std::nullopt : std::optional(duration_cast<milliseconds>(m_options.clock.now() - confirmedAt)),
        .outstanding = m_options.load.outstanding(),
        .expectedQueueingDelay = duration_cast<milliseconds>(m_options.load.expectedQueueingDelay()),
        .initialSequence = held && held->initialCallerSequence ? std::optional(held->initialCallerSequence) : std::nullopt,
    };
}

agent::TableView PacketRelay::view(const fleet::FleetTable& table) const
{
    return { .table = table, .confirmedAt = m_options.tables.leaderConfirmedAt() };
}

void PacketRelay::onTableConfirmed()
{
    const auto table = m_options.tables.table();
    for (const auto& unconfirmed : m_unconfirmed.takeAll()) {
        const auto decision = m_options.router.concludeSearch(unconfirmed.search, unconfirmed.packet, view(*table));
        if (decision.action == RelayAction::Reset)
            applyDecision(decision, unconfirmed.search, unconfirmed.packet, {});
        else
            m_unconfirmed.requeue(unconfirmed);
    }
    if (!m_unconfirmed.empty())
        m_options.requestConfirmation();
}

void PacketRelay::deliverToServer(const FlowPacket& packet, std::span<std::byte> bytes, std::uint32_t mark)
{
    m_options.flows.recordCallerPacket(packet);
    if (mark)
        m_options.format.setMark(bytes, mark);
    m_serverSocket.send(bytes, m_options.serverEndpoint);
}

void PacketRelay::forwardToAgent(const RelayDecision& decision, Search search, std::span<const std::byte> bytes)
{
    search.advance(decision, m_serverId, *m_options.tables.table());
    dataplane::GeneveMessage message;
    message.serviceId = search.route.serviceId;
    message.route = search.route;
    message.visited = search.visited;
    message.newestKnownServer = search.newestKnownServer;
    m_daemonSocket.send(message, bytes, decision.nextAgent);
}

void PacketRelay::notifyBalancer(const Search& search, const fleet::FlowKey& key)
{
    dataplane::GeneveMessage notification;
    notification.holder = dataplane::FlowHolder { .key = key, .serverId = m_serverId, .incarnation = m_incarnation };
    sendToBalancer(search, notification);
}

bool PacketRelay::sendToBalancer(const Search& search, dataplane::GeneveMessage& message)
{
    if (!search.route.balancer.port)
        return false;
    message.serviceId = search.route.serviceId;
    message.control = true;
    m_daemonSocket.send(message, {}, search.route.balancer);
    return true;
}

void PacketRelay::sendToCaller(const fleet::FlowKey& flow, std::span<const std::byte> bytes)
{
    m_daemonSocket.send(bytes, { .address = flow.caller.address, .port = m_options.daemonEndpoint.port });
}

} // namespace clementinesill::passthrough

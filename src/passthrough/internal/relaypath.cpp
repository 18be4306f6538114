#include "passthrough/internal/relaypath.h"

#include "agent/types/tableview.h"
#include "dataplane/genevecodec.h"
#include "fleet/fleettable.h"
#include "fleet/itablesource.h"
#include "foundation/histogram.h"
#include "foundation/log.h"
#include "passthrough/heldflows.h"
#include "passthrough/internal/decisionlines.h"
#include "passthrough/ipacketformat.h"
#include "passthrough/localserver.h"
#include "passthrough/relayrouter.h"
#include "passthrough/serverload.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace clementinesill::passthrough {

namespace asio = boost::asio;

namespace {

// Packets at the server at once whose searches can go on; some seconds of a busy server.
constexpr std::size_t pendingCapacity = 2048;
// Packets that wait for the leader's word at once.
constexpr std::size_t endedCapacity = 512;

} // namespace

RelayPath::RelayPath(asio::io_context& loop, const RelayPathOptions& options)
    : m_loop(loop)
    , m_options(options)
    , m_packets(loop, options.packets)
    , m_serverPackets(loop, options.serverPackets)
    , m_pending(pendingCapacity)
    , m_ended(options.clock, endedCapacity)
    , m_openingWait(options.metrics.histogram("opening_wait_seconds"))
{
    for (std::size_t reason = 0; reason < m_decisions.size(); ++reason)
        m_decisions[reason] = &options.metrics.counter("relay_packets_total", { { "reason", std::string(name(static_cast<RelayReason>(reason))) } });
}

void RelayPath::start()
{
    asio::co_spawn(m_loop, m_packets.run([this](auto datagram) { onDaemonPacket(datagram); }), asio::detached);
    asio::co_spawn(m_loop, m_serverPackets.run([this](auto datagram) { onServerPacket(datagram); }), asio::detached);
}

void RelayPath::setServer(std::uint32_t serverId, std::uint32_t incarnation)
{
    m_serverId = serverId;
    m_incarnation = incarnation;
}

void RelayPath::onDaemonPacket(std::span<std::byte> datagram)
{
    m_options.localServer.noteRunning();
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
    if (table->version() != m_seenVersion) {
        m_seenVersion = table->version();
        m_options.tableSeen(*table);
    }
    if (message.route->tableVersion > table->version())
        m_options.tables.recordSeenVersion(message.route->tableVersion);
    const Search search { .route = *message.route, .visited = message.visited };
    const auto decision = m_options.router.decide(search, *packet, view(*table));
    carryOut(decision, search, *packet, bytes);
}

void RelayPath::onServerPacket(std::span<std::byte> datagram)
{
    const auto packet = m_options.format.decode(datagram);
    if (!packet) {
        ++m_options.metrics.counter("relay_malformed_total");
        return;
    }
    m_options.localServer.noteAlive();
    if (packet->bounced) {
        onHandedBack(datagram, *packet);
        return;
    }
    m_options.flows.noteServer(*packet);
    toCaller(packet->flowOfAnswer(), datagram);
}

void RelayPath::onHandedBack(std::span<std::byte> datagram, const FlowPacket& packet)
{
    const auto table = m_options.tables.table();
    Search search;
    if (const auto* pending = m_pending.find(packet.mark)) {
        search = *pending;
    } else {
        // A packet of a flow that the server has forgotten: the search starts here.
        const auto* self = table->server(m_serverId);
        search.route = { .tableVersion = table->version(), .serviceId = self ? self->serviceId : 0, .serverId = m_serverId, .incarnation = m_incarnation, .balancer = {}, .ingress = {} };
    }
    m_options.format.mark(datagram, 0);
    carryOut(m_options.router.decideHandedBack(search, packet, view(*table)), search, packet, datagram);
}

void RelayPath::carryOut(const RelayDecision& decision, const Search& search, const FlowPacket& packet, std::span<std::byte> bytes)
{
    note(decision, search, packet);
    switch (decision.action) {
    case RelayAction::Deliver:
    case RelayAction::Open:
        if (search.route.flags & dataplane::Route::passedOn)
            tellBalancer(search, packet.key);
        deliver(packet, bytes, decision.action == RelayAction::Open ? m_pending.store(search) : 0);
        return;
    case RelayAction::Ask:
        deliver(packet, bytes, m_pending.store(search));
        return;
    case RelayAction::PassOn:
        passOn(decision, search, bytes);
        return;
    case RelayAction::Reset:
        toCaller(packet.key, m_options.format.reset(packet));
        return;
    case RelayAction::Drop:
        if (decision.reason == RelayReason::TableUnconfirmed) {
            m_ended.add(packet, search);
            m_options.wantConfirmation();
        }
        return;
    }
}

// Leaves what was decided in the log and the metrics.
void RelayPath::note(const RelayDecision& decision, const Search& search, const FlowPacket& packet)
{
    ++*m_decisions.at(static_cast<std::size_t>(decision.reason));
    if (decision.action == RelayAction::Deliver && decision.reason == RelayReason::Held && !(search.route.flags & dataplane::Route::passedOn))
        return;
    logDecision(decision, search, packet, inputs(packet));
    if (!packet.opensFlow() || decision.reason == RelayReason::RepeatedOpening)
        return;
    if (decision.action == RelayAction::Open)
        m_openingWait.record(std::chrono::duration<double>(packet.waited()).count());
    if (const auto state = m_admission.note(decision.obstacle))
        log(LogLevel::Info, *state == RelayReason::Admitted ? "admission_opened" : "admission_closed", { { .key = logkey::reason, .value = std::string(name(*state)) }, { .key = "outstanding", .value = std::to_string(m_options.load.outstanding()) }, { .key = "table", .value = std::to_string(m_seenVersion) } });
}

RelayInputs RelayPath::inputs(const FlowPacket& packet) const
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto confirmed = m_options.tables.leaderConfirmedAt();
    const auto* held = m_options.flows.find(packet.key);
    return {
        .tableVersion = m_seenVersion,
        .tableAge = confirmed == MonotonicTime() ? std::nullopt : std::optional(duration_cast<milliseconds>(m_options.clock.now() - confirmed)),
        .outstanding = m_options.load.outstanding(),
        .expectedWait = duration_cast<milliseconds>(m_options.load.expectedWait()),
        .openingSequence = held && held->callerSequence ? std::optional(held->callerSequence) : std::nullopt,
    };
}

agent::TableView RelayPath::view(const fleet::FleetTable& table) const
{
    return { .table = table, .confirmedAt = m_options.tables.leaderConfirmedAt() };
}

void RelayPath::confirmed()
{
    const auto table = m_options.tables.table();
    for (const auto& ended : m_ended.take()) {
        const auto decision = m_options.router.endSearch(ended.search, ended.packet, view(*table));
        if (decision.action == RelayAction::Reset)
            carryOut(decision, ended.search, ended.packet, {});
        else
            m_ended.keep(ended);
    }
    if (!m_ended.empty())
        m_options.wantConfirmation();
}

void RelayPath::deliver(const FlowPacket& packet, std::span<std::byte> bytes, std::uint32_t mark)
{
    m_options.flows.noteCaller(packet);
    if (mark)
        m_options.format.mark(bytes, mark);
    m_serverPackets.send(bytes, m_options.server);
}

void RelayPath::passOn(const RelayDecision& decision, Search search, std::span<const std::byte> bytes)
{
    search.advance(decision, m_serverId, m_options.tables.table()->version());
    dataplane::GeneveMessage message;
    message.serviceId = search.route.serviceId;
    message.route = search.route;
    message.visited = search.visited;
    m_packets.send(message, bytes, decision.nextAgent);
}

void RelayPath::tellBalancer(const Search& search, const fleet::FlowKey& key)
{
    if (!search.route.balancer.port)
        return;
    dataplane::GeneveMessage hint;
    hint.serviceId = search.route.serviceId;
    hint.control = true;
    hint.holder = dataplane::Holder { .key = key, .serverId = m_serverId, .incarnation = m_incarnation };
    m_packets.send(hint, {}, search.route.balancer);
}

void RelayPath::toCaller(const fleet::FlowKey& flow, std::span<const std::byte> bytes)
{
    m_packets.send(bytes, { .address = flow.caller.address, .port = m_options.packets.port });
}

} // namespace clementinesill::passthrough

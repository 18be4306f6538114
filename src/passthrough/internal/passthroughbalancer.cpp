#include "admin.pb.h"
#include "admin/iadminsource.h"
#include "dataplane/genevecodec.h"
#include "dataplane/internal/flowcache.h"
#include "dataplane/types/genevemessage.h"
#include "fleet/fleettable.h"
#include "fleet/ifleetclient.h"
#include "fleet/itablesource.h"
#include "foundation/irolemodule.h"
#include "foundation/log.h"
#include "foundation/metrics.h"
#include "foundation/systemclock.h"
#include "net/ilistener.h"
#include "passthrough/entryorder.h"
#include "passthrough/entryrouter.h"
#include "passthrough/internal/decisionlog.h"
#include "passthrough/internal/packetsocket.h"
#include "passthrough/internal/tablemetrics.h"
#include "passthrough/ipacketformat.h"
#include "passthrough/linkadmission.h"
#include "passthrough/passthroughmodules.h"
#include "passthrough/placementexplanation.h"
#include "passthrough/serverloadview.h"
#include "passthrough/types/entrypacket.h"
#include "settings.pb.h"

#include <array>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <limits>
#include <mutex>
#include <thread>

namespace clementinesill::passthrough {

namespace asio = boost::asio;

namespace {

constexpr std::size_t defaultCacheEntries = 16384;
// The fabric checks readiness twice a second and removes a balancer after two failed checks; the rest covers packets in
// flight.
constexpr std::chrono::milliseconds drainDelay { 2200 };

// Time within which a table must arrive that an agent has already. With the time for another stream, an agent's newer decision is
// followed within rollback_slack_ms (250 ms) of the users' deployments.
constexpr std::chrono::milliseconds newerTableTimeout { 100 };
// Time that another controller has to send the table before the next one is tried.
constexpr std::chrono::milliseconds controllerChangeInterval { 750 };

LinkAdmissionOptions linkAdmissionOptions(const schema::PassThroughSettings& settings, const IPacketFormat& format)
{
    constexpr double bytesPerMegabit = 1e6 / 8;
    std::array<std::byte, dataplane::maximumGeneveHeaderBytes> header;
    dataplane::GeneveMessage message;
    message.route.emplace();
    return {
        .link = { .bytesPerSecond = settings.overload().link_mbps() * bytesPerMegabit, .datagramOverheadBytes = settings.overload().link_overhead_bytes() },
        .forwardHeaderBytes = dataplane::encodeGeneveHeader(message, header),
        .resetBytes = format.makeReset({}).size(),
    };
}

// The lowest priority for an address without a route.
std::uint32_t priorityOf(const FlowPacket& packet, const fleet::FleetTable& table)
{
    const auto* route = table.route(packet.key.service);
    return route ? route->priority : std::numeric_limits<std::uint32_t>::max();
}

class PassThroughBalancer final : public IRoleModule, private admin::IAdminSource {
public:
    PassThroughBalancer(const schema::DaemonSettings& settings, fleet::IFleetClient& fleet, const IPacketFormat& format, const ReadyListenerFactory& makeReadyListener, MetricsRegistry& metrics)
        : m_settings(settings.balancer().pass_through())
        , m_zone(settings.zone())
        , m_fleet(fleet)
        , m_format(format)
        , m_makeReadyListener(makeReadyListener)
        , m_metrics(metrics)
        , m_cache(settings.balancer().flow_cache_entries() ? settings.balancer().flow_cache_entries() : defaultCacheEntries)
        , m_usesLoadNotices(m_settings.overload().load_notices())
        , m_router(m_cache, m_zone, m_usesLoadNotices ? &m_loadView : nullptr)
        , m_noticeCounter(metrics.counter("load_notices_total"))
        , m_linkAdmission(linkAdmissionOptions(m_settings, format), m_clock, metrics)
        , m_peerEndpoint(parseEndpoint(m_settings.peer_endpoint()))
        , m_callerPort(parseEndpoint(m_settings.packet_endpoint()).port)
        , m_callerSocket(m_loop, parseEndpoint(m_settings.packet_endpoint()))
        , m_peerSocket(m_loop, m_peerEndpoint)
    {
        metrics.describe("entry_packets_total", "callers' packets by what was decided about them");
        addTableMetrics(metrics, fleet.tables(), m_clock);
        for (std::size_t reason = 0; reason < m_decisionCounters.size(); ++reason)
            m_decisionCounters[reason] = &metrics.counter("entry_packets_total", { { "reason", std::string(name(static_cast<EntryReason>(reason))) } });
        if (m_usesLoadNotices)
            addLoadMetrics();
    }

    ~PassThroughBalancer() override { stop(); }

    void start() override
    {
        if (m_settings.has_overload())
            asio::co_spawn(m_loop, m_callerSocket.runBatches([this](auto datagrams) { onCallerPackets(datagrams); }), asio::detached);
        else
            asio::co_spawn(m_loop, m_callerSocket.run([this](auto datagram) { onCallerPackets({ &datagram, 1 }); }), asio::detached);
        asio::co_spawn(m_loop, m_peerSocket.run([this](auto datagram) { onAgentPacket(datagram); }), asio::detached);
        m_thread = std::thread([this] { m_loop.run(); });
        m_readyListener = m_makeReadyListener(m_settings.ready_endpoint(), [this] { return !m_shuttingDown && m_fleet.tables().table()->documentVersion().has_value(); });
    }

    // Reports not ready, so that the fabric removes this balancer, and forwards packets until it has done so.
    void stop() override
    {
        if (!m_thread.joinable())
            return;
        m_shuttingDown = true;
        std::this_thread::sleep_for(drainDelay);
        m_readyListener->stop();
        m_loop.stop();
        m_thread.join();
    }

    const admin::IAdminSource* adminSource() const override { return this; }

private:
    void report(schema::DaemonReport& report) const override { report.set_version(m_fleet.tables().table()->version()); }

    schema::FlowList flows(const schema::FlowQuery&) const override { return {}; }

    schema::DecisionList explain(const schema::ExplainQuery&) const override { return {}; }

    void explainPlacement(const schema::PlacementQuery& query, schema::PlacementList& list) const override
    {
        const auto table = m_fleet.tables().table();
        const std::lock_guard lock(m_routerMutex);
        list.MergeFrom(passthrough::explainPlacement(parseEndpoint(query.address()), *table, m_zone, m_usesLoadNotices ? &m_loadView : nullptr));
    }

    void addLoadMetrics()
    {
        m_metrics.describe("load_notices_total", "load notices received from agents");
        m_metrics.describe("entry_servers_seen", "servers whose load the balancer currently knows, by load");
        static constexpr std::array<std::pair<const char*, std::size_t LoadViewCounts::*>, 3> counts { { { "busy", &LoadViewCounts::busy }, { "unanswered", &LoadViewCounts::unanswered }, { "full", &LoadViewCounts::full } } };
        for (const auto& [load, count] : counts) {
            m_metrics.addGauge("entry_servers_seen", { { "load", load } }, [this, count = count] {
                const std::lock_guard lock(m_routerMutex);
                return static_cast<double>(m_loadView.counts().*count);
            });
        }
    }

    // Handles the packets read in one wake-up, those of open flows first.
    void onCallerPackets(std::span<const std::span<std::byte>> datagrams)
    {
        const auto table = m_fleet.tables().table();
        m_batch.clear();
        for (const auto& bytes : datagrams) {
            const auto packet = m_format.decode(bytes);
            m_linkAdmission.recordReceived(packet && !packet->opensFlow(), bytes.size());
            if (packet)
                m_batch.push_back({ .packet = *packet, .bytes = bytes, .priority = priorityOf(*packet, *table) });
            else
                ++m_metrics.counter("entry_malformed_total");
        }
        const auto handled = orderEntryPackets(m_batch);
        for (std::size_t index = 0; index < m_batch.size(); ++index) {
            const auto& entry = m_batch[index];
            const auto decision = index < handled ? admit(entry, *table) : m_linkAdmission.reject(EntryReason::BatchFull, entry);
            apply(decision, entry, *table);
        }
    }

    // Decides about a packet, within the budget of the link.
    EntryDecision admit(const EntryPacket& entry, const fleet::FleetTable& table)
    {
        const std::lock_guard lock(m_routerMutex);
        const auto placement = m_router.decide(entry.packet, table);
        const auto decision = m_linkAdmission.admit(placement, entry);
        if (placement.opensFlow && decision.action != EntryAction::Forward)
            m_router.withdraw(entry.packet, table, decision.action == EntryAction::Reset);
        return decision;
    }

    void apply(const EntryDecision& decision, const EntryPacket& entry, const fleet::FleetTable& table)
    {
        ++*m_decisionCounters.at(static_cast<std::size_t>(decision.reason));
        logDecision(decision, entry.packet, table.version());
        if (decision.action == EntryAction::Forward)
            forward(decision, table, entry.bytes);
        else if (decision.action == EntryAction::Reset)
            m_callerSocket.send(m_format.makeReset(entry.packet), { .address = entry.packet.key.caller.address, .port = m_callerPort });
    }

    void forward(const EntryDecision& decision, const fleet::FleetTable& table, std::span<const std::byte> bytes)
    {
        dataplane::GeneveMessage message;
        message.serviceId = decision.server->serviceId;
        message.route = dataplane::Route {
            .tableVersion = table.version(),
            .serviceId = decision.server->serviceId,
            .serverId = decision.server->id,
            .incarnation = decision.server->incarnation,
            .balancer = m_peerEndpoint,
            .ingress = {},
            .flags = static_cast<std::uint8_t>((decision.opensFlow ? dataplane::Route::opensFlow : 0) | (decision.fromCache ? dataplane::Route::fromCache : 0)),
        };
        m_callerSocket.send(message, bytes, decision.server->agent);
    }

    void onAgentPacket(std::span<const std::byte> datagram)
    {
        m_linkAdmission.recordReceived(false, datagram.size());
        dataplane::GeneveMessage message;
        const bool decoded = dataplane::decodeGeneve(datagram, message) == dataplane::PacketError::None;
        const bool hasNotice = decoded && m_usesLoadNotices && message.control && message.loadNotice;
        const bool hasTableNotice = decoded && message.control && message.newerTableVersion;
        if (!decoded || (!message.holder && !hasNotice && !hasTableNotice)) {
            ++m_metrics.counter("entry_malformed_total");
            return;
        }
        const auto table = m_fleet.tables().table();
        if (hasNotice) {
            ++m_noticeCounter;
            logNotice(*message.loadNotice, message.serviceId);
        }
        if (hasTableNotice)
            onNewerTable(*message.newerTableVersion, table->version());
        const std::lock_guard lock(m_routerMutex);
        if (hasNotice)
            m_loadView.apply(*message.loadNotice, *table);
        if (message.holder)
            m_router.learn(*message.holder, *table);
    }

    // A table normally arrives within milliseconds of its arrival at agents. If it does not, the controller is silent.
    void onNewerTable(std::uint64_t newerVersion, std::uint64_t version)
    {
        if (newerVersion <= version || m_waitsForNewerTable || m_clock.now() < m_nextControllerChange)
            return;
        m_waitsForNewerTable = true;
        m_newerTableTimer.expires_after(newerTableTimeout);
        m_newerTableTimer.async_wait([this, newerVersion](const boost::system::error_code& error) {
            m_waitsForNewerTable = false;
            if (error || m_fleet.tables().table()->version() >= newerVersion)
                return;
            m_nextControllerChange = m_clock.now() + controllerChangeInterval;
            log(LogLevel::Warn, "stale_controller_left", { { .key = logkey::version, .value = std::to_string(m_fleet.tables().table()->version()) }, { .key = "newer_version", .value = std::to_string(newerVersion) } });
            m_fleet.leaveStaleController(newerVersion);
        });
    }

    const schema::PassThroughSettings m_settings;
    const std::string m_zone;
    fleet::IFleetClient& m_fleet;
    SystemClock m_clock;
    const IPacketFormat& m_format;
    ReadyListenerFactory m_makeReadyListener;
    MetricsRegistry& m_metrics;
    dataplane::FlowCache m_cache;
    const bool m_usesLoadNotices;
    ServerLoadView m_loadView { m_clock };
    EntryRouter m_router;
    // Guards the router and the view, which metrics and admin pages read on other threads.
    mutable std::mutex m_routerMutex;
    Counter& m_noticeCounter;
    LinkAdmission m_linkAdmission;
    std::vector<EntryPacket> m_batch;
    const Endpoint m_peerEndpoint;
    const std::uint16_t m_callerPort;
    asio::io_context m_loop { 1 };
    PacketSocket m_callerSocket;
    PacketSocket m_peerSocket;
    asio::steady_timer m_newerTableTimer { m_loop };
    // Whether the timer runs. Used on the event loop only.
    bool m_waitsForNewerTable = false;
    MonotonicTime m_nextControllerChange;
    // Indexed by EntryReason.
    std::array<Counter*, entryReasonCount> m_decisionCounters {};
    std::atomic<bool> m_shuttingDown { false };
    std::unique_ptr<net::IListener> m_readyListener;
    std::thread m_thread;
};

} // namespace

std::unique_ptr<IRoleModule> makePassThroughBalancer(const schema::DaemonSettings& settings, fleet::IFleetClient& fleet, const IPacketFormat& format, const ReadyListenerFactory& makeReadyListener, MetricsRegistry& metrics)
{
    return std::make_unique<PassThroughBalancer>(settings, fleet, format, makeReadyListener, metrics);
}

} // namespace clementinesill::passthrough

#include "agent/internal/misslog.h"
#include "agent/serverprobe.h"
#include "fleet/fleettable.h"
#include "fleet/ifleetclient.h"
#include "fleet/itablesource.h"
#include "fleet/types/routeentry.h"
#include "foundation/error.h"
#include "foundation/irolemodule.h"
#include "foundation/log.h"
#include "foundation/metrics.h"
#include "foundation/systemclock.h"
#include "net/connectionprobe.h"
#include "net/ilistener.h"
#include "passthrough/coldstartlimit.h"
#include "passthrough/flowtracker.h"
#include "passthrough/iheartbeathandler.h"
#include "passthrough/internal/packetrelay.h"
#include "passthrough/internal/routehistograms.h"
#include "passthrough/internal/serverregistrar.h"
#include "passthrough/internal/tablemetrics.h"
#include "passthrough/localserver.h"
#include "passthrough/passthroughmodules.h"
#include "passthrough/relayrouter.h"
#include "passthrough/serverfailures.h"
#include "passthrough/waitingopenings.h"
#include "settings.pb.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <utility>

namespace clementinesill::passthrough {

namespace asio = boost::asio;

namespace {

// Number of flows whose first miss is recorded.
constexpr std::size_t missLogCapacity = 4096;
// Covers the round trip of a handshake and 50 ms in the queue of the entry link in each direction; see FlowTrackerOptions.
constexpr std::chrono::milliseconds requestTimeout { 150 };
// How often expired flows are removed, and the table is checked if no packets arrive.
constexpr std::chrono::milliseconds maintenanceInterval { 600 };
// How often the table is checked while the server is registered but not yet in the table.
constexpr std::chrono::milliseconds registrationPollInterval { 100 };
// How long a gauge waits for the loop before it reports 0.
constexpr std::chrono::milliseconds gaugeTimeout { 200 };
// How long a heartbeat waits for the loop to apply it. The loop reads at most 64 packets in a row, so that it takes longer only if
// the agent is stuck.
constexpr std::chrono::seconds applyTimeout { 1 };
// Heartbeat intervals within which a server that has become cold reports it.
constexpr int coldReportIntervals = 2;
// How often the port of a draining server is checked; a server takes longer to start again.
constexpr std::chrono::milliseconds portCheckInterval { 200 };
// How long a server may take to answer whether it is healthy.
constexpr std::chrono::milliseconds healthTimeout { 500 };
// In metrics and logs, indexed by HeartbeatResult.
constexpr std::array<const char*, 5> heartbeatOutcomes { "accepted", "accepted", "accepted", "outdated", "unverified" };

class PassThroughAgent final : public IRoleModule, public IHeartbeatHandler {
public:
    PassThroughAgent(const schema::DaemonSettings& settings, fleet::IFleetClient& fleet, const IPacketFormat& format, const ReadyListenerFactory& makeReadyListener, const HeartbeatListenerFactory& makeHeartbeatListener, MetricsRegistry& metrics)
        : m_zone(settings.zone())
        , m_service(settings.agent().service())
        , m_endpoint(parseEndpoint(settings.agent().pass_through().packet_endpoint()))
        , m_serverEndpoint(parseEndpoint(settings.agent().server_endpoint()))
        , m_settings(settings.agent().pass_through())
        , m_fleet(fleet)
        , m_metrics(metrics)
        , m_makeReadyListener(makeReadyListener)
        , m_makeHeartbeatListener(makeHeartbeatListener)
        , m_heartbeatInterval(std::chrono::milliseconds(m_settings.heartbeat_ms()))
        , m_server(m_clock, m_heartbeatInterval)
        , m_coldStartLimit(m_clock, { .factor = m_settings.cold_factor(), .extraFlows = m_settings.cold_extra_flows() })
        , m_flows(m_load, m_clock, { .idleTimeout = std::chrono::seconds(m_settings.flow_lifetime_seconds()), .requestTimeout = waiting() ? requestTimeout : Duration::zero(), .failures = waiting() ? &m_failures : nullptr, .responseStarted = [this](const auto& flow, auto elapsed) { m_responseTimes.record(flow.service, elapsed, *m_fleet.tables().table()); } })
        , m_router({ .zone = m_zone, .flows = m_flows, .server = m_server, .load = m_load, .coldStartLimit = m_coldStartLimit, .misses = m_misses, .clock = m_clock, .flowLifetime = std::chrono::seconds(m_settings.flow_lifetime_seconds()), .waiting = waiting(), .failures = waiting() ? &m_failures : nullptr })
        , m_relay(m_loop, { .daemonEndpoint = parseEndpoint(m_settings.packet_endpoint()), .serverPacketEndpoint = parseEndpoint(m_settings.server_packets_endpoint()), .serverEndpoint = m_serverEndpoint, .format = format, .router = m_router, .flows = m_flows, .load = m_load, .localServer = m_server, .tables = fleet.tables(), .metrics = metrics, .onTableChanged = [this](const auto& table) { onTableChanged(table); }, .requestConfirmation = [this] { m_registrar->requestRenewal(); }, .clock = m_clock, .waiting = waiting(), .sendLoadNotices = m_settings.overload().load_notices() })
    {
    }

    ~PassThroughAgent() override { stop(); }

    void start() override
    {
        m_relay.start();
        if (!tableKnown())
            m_server.awaitTable();
        asio::co_spawn(m_loop, runPeriodicTasks(), asio::detached);
        asio::co_spawn(m_loop, watchServerPort(), asio::detached);
        m_registrar = std::make_unique<ServerRegistrar>(
            m_fleet, m_settings.packet_endpoint(), [this](const auto& registration) { asio::post(m_loop, [this, registration] { onRegistered(registration); }); }, [this] { asio::post(m_loop, [this] { m_relay.onTableConfirmed(); }); });
        m_thread = std::thread([this] { m_loop.run(); });
        registerMetrics();
        m_heartbeatListener = m_makeHeartbeatListener(m_settings.control_endpoint(), *this);
        m_readyListener = m_makeReadyListener(m_settings.ready_endpoint(), [this] { return m_fleet.tables().table()->documentVersion().has_value(); });
    }

    // Flows are terminated at the server, so no draining is needed: after a restart, the agent probes the server for them.
    void stop() override
    {
        if (!m_thread.joinable())
            return;
        m_heartbeatListener->stop();
        m_readyListener->stop();
        m_loop.stop();
        m_thread.join();
        m_registrar->stop();
        deregisterEndedServer();
    }

    void onHeartbeat(const ServerHeartbeat& heartbeat) override
    {
        applyOnLoop([this, heartbeat] { handleHeartbeat(heartbeat); });
    }

    void onServerShutdown(const std::string& name) override
    {
        applyOnLoop([this, name] {
            refreshTable();
            if (!m_server.markShutDown(name)) {
                if (m_server.closed())
                    throw Error(ErrorKind::Unavailable, "it is not known yet whether server '" + name + "' runs here", "send the report again");
                return;
            }
            m_portTimer.cancel();
            log(LogLevel::Info, "server_left", { { .key = logkey::server, .value = name } });
            m_relay.releaseWaiting();
            m_registrar->setServerGone();
        });
    }

private:
    // Runs the task on the loop and returns once it has run, because the calling code then acknowledges its effect. Throws Error
    // (Unavailable) if the loop does not run it in time; it may run later.
    void applyOnLoop(std::function<void()> task)
    {
        const auto applied = std::make_shared<std::packaged_task<void()>>(std::move(task));
        auto result = applied->get_future();
        asio::post(m_loop, [applied] { (*applied)(); });
        if (result.wait_for(applyTimeout) != std::future_status::ready)
            throw Error(ErrorKind::Unavailable, "the agent is busy and has not applied the server's report yet", "send it again");
        result.get();
    }

    // On a VM that is being removed, the agent is stopped after its server has ended. If the server did not report its
    // shutdown, deregisters it, because searches would visit this agent until the lease expires.
    void deregisterEndedServer()
    {
        // The table may have arrived since the loop last looked at it.
        updateServerFromTable(*m_fleet.tables().table());
        const auto& registration = m_registration.serverId ? m_registration : m_adoptedRegistration;
        if (!registration.serverId || !m_server.presumedEnded([this] { return net::refusesConnections(m_serverEndpoint); }))
            return;
        log(LogLevel::Info, "server_ended_before_agent", { { .key = logkey::server, .value = std::to_string(registration.serverId) } });
        try {
            m_fleet.leave(registration, false);
        } catch (const Error& error) {
            log(LogLevel::Warn, "server_not_removed", { { .key = logkey::reason, .value = error.problem() }, { .key = logkey::remedy, .value = "none needed: the lease expires" } });
        }
    }

    // The gauges read state that the loop writes, so they are evaluated on the loop.
    void registerMetrics()
    {
        m_metrics.describe("opening_wait_seconds", "how long callers had waited when their flow was taken, by their copies of the opening packet");
        m_metrics.describe("relay_packets_total", "packets by what was decided about them");
        m_metrics.describe("answer_seconds", "time from a request to the first byte of its answer, by route");
        m_metrics.describe("opening_hold_seconds", "how long opening packets waited at the agent, by route");
        m_metrics.describe("load_notices_sent_total", "reports of busy or full servers sent to balancers");
        m_metrics.describe("table_notices_sent_total", "reports of a newer configuration sent to balancers that acted by an older one");
        m_metrics.addGauge("openings_held", {}, [this] { return readOnLoop([this] { return static_cast<double>(m_waiting.size()); }); });
        addTableMetrics(m_metrics, m_fleet.tables(), m_clock);
        m_metrics.addGauge("server_outstanding", {}, [this] { return readOnLoop([this] { return static_cast<double>(m_load.outstanding()); }); });
        m_metrics.addGauge("server_expected_wait_seconds", {}, [this] { return readOnLoop([this] { return std::chrono::duration<double>(m_load.expectedQueueingDelay()).count(); }); });
        m_metrics.addGauge("held_flows", {}, [this] { return readOnLoop([this] { return static_cast<double>(m_flows.size()); }); });
    }

    double readOnLoop(const std::function<double()>& read)
    {
        const auto value = std::make_shared<std::promise<double>>();
        auto ready = value->get_future();
        asio::post(m_loop, [value, read] { value->set_value(read()); });
        return ready.wait_for(gaugeTimeout) == std::future_status::ready ? ready.get() : 0;
    }

    void countHeartbeat(const char* outcome) { ++m_metrics.counter("heartbeats_total", { { "outcome", outcome } }); }

    void handleHeartbeat(const ServerHeartbeat& heartbeat)
    {
        if (heartbeat.service != m_service) {
            countHeartbeat("refused");
            log(LogLevel::Warn, "heartbeat_refused", { { .key = logkey::server, .value = heartbeat.name }, { .key = logkey::reason, .value = "the heartbeat is for service " + heartbeat.service + ", but this VM is configured for " + m_service } });
            return;
        }
        refreshTable();
        const auto result = applyHeartbeat(heartbeat);
        countHeartbeat(heartbeatOutcomes.at(static_cast<std::size_t>(result)));
        if (!isApplied(result))
            onHeartbeatNotApplied(heartbeat, result);
    }

    static bool isApplied(HeartbeatResult result) { return result != HeartbeatResult::Stale && result != HeartbeatResult::Unverified; }

    HeartbeatResult applyHeartbeat(const ServerHeartbeat& heartbeat)
    {
        const auto before = m_server.lastHeartbeat();
        const bool wasVerified = m_server.verified();
        const bool wasDraining = m_server.draining();
        const auto result = m_server.applyHeartbeat(heartbeat);
        if (!isApplied(result))
            return result;
        if (result == HeartbeatResult::NewInstance)
            onNewInstance(heartbeat, !before);
        applyLimits(heartbeat, !before);
        m_relay.releaseWaiting();
        if (result != HeartbeatResult::Unchanged || m_server.verified() != wasVerified)
            m_registrar->setServer(heartbeat, { .restarted = result == HeartbeatResult::NewInstance, .verified = m_server.verified(), .endsDrain = wasDraining && !heartbeat.draining });
        if (result == HeartbeatResult::Unchanged)
            return result;
        m_portTimer.cancel();
        log(LogLevel::Info, result == HeartbeatResult::NewInstance ? "server_started" : "server_drain_changed", { { .key = logkey::server, .value = heartbeat.name }, { .key = "draining", .value = heartbeat.draining ? "true" : "false" }, { .key = "cold_ms", .value = std::to_string(heartbeat.coldRemaining.count()) }, { .key = "started_at_ms", .value = std::to_string(heartbeat.startedAtMs) }, { .key = "sequence", .value = std::to_string(heartbeat.sequence) }, { .key = "verified", .value = m_server.verified() ? "true" : "false" }, { .key = "previous_started_at_ms", .value = before ? std::to_string(before->startedAtMs) : "" } });
        return result;
    }

    // An acknowledgement tells the server that its state is known here, so a heartbeat whose state is not known is not acknowledged:
    // throws Error (Unavailable). The sender of a delayed heartbeat has ended and does not repeat it.
    void onHeartbeatNotApplied(const ServerHeartbeat& heartbeat, HeartbeatResult result)
    {
        const auto& current = m_server.lastHeartbeat();
        log(LogLevel::Warn, "heartbeat_not_applied", { { .key = logkey::server, .value = heartbeat.name }, { .key = logkey::reason, .value = heartbeatOutcomes.at(static_cast<std::size_t>(result)) }, { .key = "started_at_ms", .value = std::to_string(heartbeat.startedAtMs) }, { .key = "sequence", .value = std::to_string(heartbeat.sequence) }, { .key = "draining", .value = heartbeat.draining ? "true" : "false" }, { .key = "closed", .value = m_server.closed() ? "true" : "false" }, { .key = "current", .value = current ? current->name : "" }, { .key = "current_started_at_ms", .value = current ? std::to_string(current->startedAtMs) : "" }, { .key = "current_sequence", .value = current ? std::to_string(current->sequence) : "" } });
        // The rate of a cold server must hold although it is not known yet that this one has started.
        if (heartbeat.coldRemaining.count())
            m_coldStartLimit.assumeCold(std::min<Duration>(heartbeat.coldRemaining, coldReportIntervals * m_heartbeatInterval));
        if (m_server.awaitsNextProcess() || m_server.awaitsHealth())
            m_portTimer.cancel();
        const bool isInForce = m_server.isCurrent(heartbeat) && heartbeat.draining && m_server.closed();
        if (!isInForce)
            throw Error(ErrorKind::Unavailable, "it is not certain yet whether this instance of server '" + heartbeat.name + "' runs", "send the next heartbeat");
    }

    // The heartbeat of an instance that is not known to run may tighten a limit, but not relax it.
    void applyLimits(const ServerHeartbeat& heartbeat, bool isFirstHeartbeat)
    {
        const bool mayRelax = m_server.verified() || isFirstHeartbeat;
        m_load.setSlots(mayRelax ? heartbeat.slots : std::min(heartbeat.slots, m_load.slots()));
        if (mayRelax)
            m_coldStartLimit.setColdFor(heartbeat.coldRemaining);
        else
            m_coldStartLimit.extendCold(heartbeat.coldRemaining);
    }

    void onNewInstance(const ServerHeartbeat& heartbeat, bool isFirstHeartbeat)
    {
        const auto* adopted = m_fleet.tables().table()->server(m_router.serverId());
        // This is the server that was adopted from the table: keep its registration and flows.
        if (isFirstHeartbeat && adopted && adopted->name == heartbeat.name)
            return;
        if (!isFirstHeartbeat) {
            m_flows.clear();
            m_router.probeUnknownFlows();
        }
        m_failures.clear();
        m_router.setServer(0, 0);
    }

    void onRegistered(const fleet::Registration& registration)
    {
        m_registration = registration;
        m_relay.setServer(registration.serverId, registration.incarnation);
        updateServerFromTable(*m_fleet.tables().table());
    }

    // Starts routing to the server once it is in the table. An agent that was restarted uses the server that the table has at
    // this endpoint until the first heartbeat arrives.
    void updateServerFromTable(const fleet::FleetTable& table)
    {
        const auto* service = table.service(m_service);
        if (!m_server.hasHeartbeat() && service) {
            const auto& servers = service->servers;
            const auto found = std::find_if(servers.begin(), servers.end(), [&](const auto& server) { return server.agent == m_endpoint; });
            if (found != servers.end()) {
                m_relay.setServer(found->id, found->incarnation);
                m_load.setSlots(found->slots);
                m_router.setServer(found->id, found->serviceId);
                m_coldStartLimit.assumeCold(coldReportIntervals * m_heartbeatInterval);
                m_server.expectHeartbeat(found->name, found->draining);
                m_adoptedRegistration = { .serverId = found->id, .incarnation = found->incarnation };
            }
            return;
        }
        const auto* self = table.server(m_registration.serverId);
        if (self && self->incarnation == m_registration.incarnation)
            m_router.setServer(self->id, self->serviceId);
    }

    bool tableKnown() const { return m_fleet.tables().table()->version() || m_fleet.tables().confirmedAt() != MonotonicTime(); }

    void refreshTable()
    {
        const bool known = tableKnown();
        onTableChanged(*m_fleet.tables().table());
        if (known)
            m_server.setTableKnown();
    }

    // While the server is closed, checks the conditions under which another instance may open it.
    asio::awaitable<void> watchServerPort()
    {
        while (true) {
            if (m_server.awaitsProcessEnd() || m_server.awaitsNextProcess())
                co_await checkServerPort();
            if (m_server.awaitsHealth())
                co_await checkServerHealth();
            if (const auto heartbeat = m_server.confirmedHeartbeat())
                applyHeartbeat(*heartbeat);
            if (m_server.awaitsProcessEnd())
                m_portTimer.expires_after(portCheckInterval);
            else
                m_portTimer.expires_at(MonotonicTime::max());
            co_await m_portTimer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    asio::awaitable<void> checkServerPort()
    {
        const bool wasRunning = m_server.awaitsProcessEnd();
        const auto accepts = co_await net::acceptsConnections(m_serverEndpoint);
        if (!accepts)
            co_return;
        m_server.recordPortState(*accepts);
        if (wasRunning && !m_server.awaitsProcessEnd())
            log(LogLevel::Info, "server_process_ended", { { .key = "endpoint", .value = format(m_serverEndpoint) } });
    }

    // Asks the server itself before another instance ends its drain: only the process that runs answers. A service without a health
    // check serves if it accepts connections.
    asio::awaitable<void> checkServerHealth()
    {
        const auto* service = m_fleet.tables().table()->service(m_service);
        const std::string path = service ? service->healthPath : "";
        bool healthy = false;
        if (path.empty())
            healthy = (co_await net::acceptsConnections(m_serverEndpoint)).value_or(false);
        else
            healthy = co_await agent::probeServer(m_serverEndpoint, path, healthTimeout) == agent::ServerProbeResult::Healthy;
        m_server.recordHealth(healthy);
        log(LogLevel::Info, "server_health_checked", { { .key = "endpoint", .value = format(m_serverEndpoint) }, { .key = "healthy", .value = healthy ? "true" : "false" } });
    }

    asio::awaitable<void> runPeriodicTasks()
    {
        asio::steady_timer timer(m_loop);
        while (true) {
            m_server.recordAgentActivity();
            logSilenceChange();
            refreshTable();
            m_flows.expire();
            m_relay.releaseWaiting();
            timer.expires_after(m_registration.serverId && !m_fleet.tables().table()->server(m_registration.serverId) ? registrationPollInterval : std::min<Duration>(maintenanceInterval, m_heartbeatInterval));
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    void logSilenceChange()
    {
        const bool silent = m_server.silent();
        if (std::exchange(m_serverSilent, silent) == silent)
            return;
        if (silent)
            log(LogLevel::Warn, "server_silent", { { .key = logkey::reason, .value = "no heartbeat or packet for three heartbeat intervals" }, { .key = logkey::remedy, .value = "check the server on this VM" } });
        else
            log(LogLevel::Info, "server_heard");
    }

    void onTableChanged(const fleet::FleetTable& table)
    {
        if (table.version() == m_tableVersion)
            return;
        m_tableVersion = table.version();
        updateServerFromTable(table);
        const bool out = table.zoneOut(m_zone);
        // The servers of a zone that returns may have become cold, and report it only in their next heartbeat.
        if (m_zoneOut && !out)
            m_coldStartLimit.assumeCold(coldReportIntervals * m_heartbeatInterval);
        if (m_zoneOut != out)
            log(LogLevel::Info, out ? "zone_out" : "zone_returned", { { .key = logkey::zone, .value = m_zone }, { .key = logkey::version, .value = std::to_string(m_tableVersion) } });
        m_zoneOut = out;
        m_relay.releaseWaiting();
    }

    // Null if the settings let no SYN wait.
    WaitingOpenings* waiting() { return m_settings.overload().waiting_openings() ? &m_waiting : nullptr; }

    const std::string m_zone;
    const std::string m_service;
    const Endpoint m_endpoint;
    const Endpoint m_serverEndpoint;
    const schema::PassThroughSettings m_settings;
    fleet::IFleetClient& m_fleet;
    MetricsRegistry& m_metrics;
    ReadyListenerFactory m_makeReadyListener;
    HeartbeatListenerFactory m_makeHeartbeatListener;
    SystemClock m_clock;
    const Duration m_heartbeatInterval;
    asio::io_context m_loop { 1 };
    // Wakes watchServerPort().
    asio::steady_timer m_portTimer { m_loop };
    ServerLoad m_load;
    LocalServer m_server;
    ColdStartLimit m_coldStartLimit;
    ServerFailures m_failures { m_clock };
    FlowTracker m_flows;
    agent::MissLog m_misses { missLogCapacity };
    WaitingOpenings m_waiting { { .maximumLength = m_settings.overload().waiting_openings() }, m_clock };
    RelayRouter m_router;
    PacketRelay m_relay;
    fleet::Registration m_registration;
    // The server that the table has at this endpoint; used while no server has been registered by this agent.
    fleet::Registration m_adoptedRegistration;
    // Indexed by the route's endpoint; used only on the loop.
    RouteHistograms m_responseTimes { m_metrics, "answer_seconds" };
    std::uint64_t m_tableVersion = 0;
    bool m_zoneOut = false;
    bool m_serverSilent = false;
    std::unique_ptr<ServerRegistrar> m_registrar;
    std::unique_ptr<net::IListener> m_heartbeatListener;
    std::unique_ptr<net::IListener> m_readyListener;
    std::thread m_thread;
};

} // namespace

std::unique_ptr<IRoleModule> makePassThroughAgent(const schema::DaemonSettings& settings, fleet::IFleetClient& fleet, const IPacketFormat& format, const ReadyListenerFactory& makeReadyListener, const HeartbeatListenerFactory& makeHeartbeatListener, MetricsRegistry& metrics)
{
    return std::make_unique<PassThroughAgent>(settings, fleet, format, makeReadyListener, makeHeartbeatListener, metrics);
}

} // namespace clementinesill::passthrough

#include "agent/internal/misslog.h"
#include "fleet/fleettable.h"
#include "fleet/ifleetclient.h"
#include "fleet/itablesource.h"
#include "fleet/types/routeentry.h"
#include "foundation/error.h"
#include "foundation/histogram.h"
#include "foundation/irolemodule.h"
#include "foundation/log.h"
#include "foundation/metrics.h"
#include "foundation/systemclock.h"
#include "net/ilistener.h"
#include "passthrough/coldlimit.h"
#include "passthrough/heldflows.h"
#include "passthrough/internal/relaypath.h"
#include "passthrough/internal/serverlink.h"
#include "passthrough/internal/tablemetrics.h"
#include "passthrough/iserverbeats.h"
#include "passthrough/localserver.h"
#include "passthrough/passthroughmodules.h"
#include "passthrough/relayrouter.h"
#include "settings.pb.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <thread>
#include <utility>

namespace clementinesill::passthrough {

namespace asio = boost::asio;

namespace {

// Flows whose misses are remembered at once.
constexpr std::size_t missLogFlows = 4096;
// How often flows whose time is over are looked for, and the table is looked at where no packet comes.
constexpr std::chrono::milliseconds reviewInterval { 600 };
// How often the table is looked at while the server is registered and not in it yet.
constexpr std::chrono::milliseconds adoptInterval { 100 };
// How long a gauge waits for the loop before it reads 0.
constexpr std::chrono::milliseconds gaugeTimeout { 200 };
// Heartbeats until a server that turned cold has said so.
constexpr int coldNoticeBeats = 2;

class PassThroughAgent final : public IRoleModule, public IServerBeats {
public:
    PassThroughAgent(const schema::DaemonSettings& settings, fleet::IFleetClient& fleet, const IPacketFormat& format, const ReadyListenerFactory& makeReadyListener, const BeatListenerFactory& makeBeatListener, MetricsRegistry& metrics)
        : m_zone(settings.zone())
        , m_service(settings.agent().service())
        , m_endpoint(parseEndpoint(settings.agent().pass_through().packet_endpoint()))
        , m_settings(settings.agent().pass_through())
        , m_fleet(fleet)
        , m_metrics(metrics)
        , m_makeReadyListener(makeReadyListener)
        , m_makeBeatListener(makeBeatListener)
        , m_heartbeat(std::chrono::milliseconds(m_settings.heartbeat_ms()))
        , m_server(m_clock, m_heartbeat)
        , m_cold(m_clock, { .factor = m_settings.cold_factor(), .extraFlows = m_settings.cold_extra_flows() })
        , m_flows(m_load, m_clock, { .idleTimeout = std::chrono::seconds(m_settings.flow_lifetime_seconds()), .answered = [this](const auto& flow, auto took) { recordAnswer(flow, took); } })
        , m_router({ .zone = m_zone, .flows = m_flows, .server = m_server, .load = m_load, .cold = m_cold, .misses = m_misses, .clock = m_clock, .flowLifetime = std::chrono::seconds(m_settings.flow_lifetime_seconds()) })
        , m_path(m_loop, { .packets = parseEndpoint(m_settings.packet_endpoint()), .serverPackets = parseEndpoint(m_settings.server_packets_endpoint()), .server = parseEndpoint(settings.agent().server_endpoint()), .format = format, .router = m_router, .flows = m_flows, .load = m_load, .localServer = m_server, .tables = fleet.tables(), .metrics = metrics, .tableSeen = [this](const auto& table) { followTable(table); }, .wantConfirmation = [this] { m_link->renewSoon(); }, .clock = m_clock })
    {
    }

    ~PassThroughAgent() override { stop(); }

    void start() override
    {
        m_path.start();
        asio::co_spawn(m_loop, review(), asio::detached);
        m_link = std::make_unique<ServerLink>(
            m_fleet, m_settings.packet_endpoint(), [this](const auto& registration) { asio::post(m_loop, [this, registration] { onRegistered(registration); }); }, [this] { asio::post(m_loop, [this] { m_path.confirmed(); }); });
        m_thread = std::thread([this] { m_loop.run(); });
        describeMetrics();
        m_beatListener = m_makeBeatListener(m_settings.control_endpoint(), *this);
        m_readyListener = m_makeReadyListener(m_settings.ready_endpoint(), [this] { return m_fleet.tables().table()->documentVersion() != 0; });
    }

    // Flows end at the server, so nothing has to be waited for: the next start of the agent asks the server.
    void stop() override
    {
        if (!m_thread.joinable())
            return;
        m_beatListener->stop();
        m_readyListener->stop();
        m_loop.stop();
        m_thread.join();
        m_link->stop();
        tellEnd();
    }

    void beat(const ServerBeat& beat) override
    {
        asio::post(m_loop, [this, beat] { onBeat(beat); });
    }

    void leave(const std::string& name) override
    {
        asio::post(m_loop, [this, name] {
            if (!m_server.leave(name))
                return;
            log(LogLevel::Info, "server_left", { { .key = logkey::server, .value = name } });
            m_link->setGone();
        });
    }

private:
    // A VM that goes for good is told to stop after its server has ended. If the server could not say so itself, searches
    // would go on to this agent until its lease ends.
    void tellEnd()
    {
        const auto& registration = m_registration.serverId ? m_registration : m_adopted;
        if (!registration.serverId || !m_server.endedBeforeAgent())
            return;
        log(LogLevel::Info, "server_ended_before_agent", { { .key = logkey::server, .value = std::to_string(registration.serverId) } });
        try {
            m_fleet.leave(registration, false);
        } catch (const Error& error) {
            log(LogLevel::Warn, "server_not_removed", { { .key = logkey::reason, .value = error.problem() }, { .key = logkey::remedy, .value = "its lease ends by itself" } });
        }
    }

    // What the gauges read is written by the loop, so they are read there.
    void describeMetrics()
    {
        m_metrics.describe("opening_wait_seconds", "how long callers had waited when their flow was taken, by their copies of the opening packet");
        m_metrics.describe("relay_packets_total", "packets by what was decided about them");
        m_metrics.describe("answer_seconds", "time from a request to the first byte of its answer, by route");
        exportTable(m_metrics, m_fleet.tables(), m_clock);
        m_metrics.addGauge("server_outstanding", {}, [this] { return onLoop([this] { return static_cast<double>(m_load.outstanding()); }); });
        m_metrics.addGauge("server_expected_wait_seconds", {}, [this] { return onLoop([this] { return std::chrono::duration<double>(m_load.expectedWait()).count(); }); });
        m_metrics.addGauge("held_flows", {}, [this] { return onLoop([this] { return static_cast<double>(m_flows.size()); }); });
    }

    double onLoop(const std::function<double()>& read)
    {
        const auto value = std::make_shared<std::promise<double>>();
        auto ready = value->get_future();
        asio::post(m_loop, [value, read] { value->set_value(read()); });
        return ready.wait_for(gaugeTimeout) == std::future_status::ready ? ready.get() : 0;
    }

    // The time that one answer took, by its route.
    void recordAnswer(const fleet::FlowKey& flow, Duration took)
    {
        auto& histogram = m_answers[flow.service];
        if (!histogram) {
            const auto table = m_fleet.tables().table();
            const auto* route = table->route(flow.service);
            histogram = &m_metrics.histogram("answer_seconds", { { "route", route ? route->name : format(flow.service) } });
        }
        histogram->record(std::chrono::duration<double>(took).count());
    }

    void countBeat(const char* outcome) { ++m_metrics.counter("heartbeats_total", { { "outcome", outcome } }); }

    void onBeat(const ServerBeat& beat)
    {
        if (beat.service != m_service) {
            countBeat("refused");
            log(LogLevel::Warn, "heartbeat_refused", { { .key = logkey::server, .value = beat.name }, { .key = logkey::reason, .value = "it names service " + beat.service + ", this VM is set up for " + m_service } });
            return;
        }
        const bool first = !m_server.known();
        const auto change = m_server.accept(beat);
        countBeat(change == BeatChange::Outdated ? "outdated" : "accepted");
        if (change == BeatChange::Outdated)
            return;
        if (change == BeatChange::NewStart)
            startServer(beat, first);
        m_cold.setCold(beat.coldRemaining);
        if (change == BeatChange::None)
            return;
        log(LogLevel::Info, change == BeatChange::NewStart ? "server_started" : "server_drain_changed", { { .key = logkey::server, .value = beat.name }, { .key = "draining", .value = beat.draining ? "true" : "false" }, { .key = "cold_ms", .value = std::to_string(beat.coldRemaining.count()) } });
        m_link->setServer(beat);
    }

    void startServer(const ServerBeat& beat, bool first)
    {
        m_load.setSlots(beat.slots);
        const auto* adopted = m_fleet.tables().table()->server(m_router.serverId());
        // The server that was taken from the table goes on.
        if (first && adopted && adopted->name == beat.name)
            return;
        if (!first)
            m_flows.clear();
        m_router.setServer(0, 0);
    }

    void onRegistered(const fleet::Registration& registration)
    {
        m_registration = registration;
        m_path.setServer(registration.serverId, registration.incarnation);
        adoptServer(*m_fleet.tables().table());
    }

    // The server can be served once the table holds it. Until its first heartbeat an agent that was restarted takes the one
    // that the table has at this endpoint.
    void adoptServer(const fleet::FleetTable& table)
    {
        const auto* service = table.service(m_service);
        if (!m_server.known() && service) {
            const auto& servers = service->servers;
            const auto found = std::find_if(servers.begin(), servers.end(), [&](const auto& server) { return server.agent == m_endpoint; });
            if (found != servers.end()) {
                m_path.setServer(found->id, found->incarnation);
                m_load.setSlots(found->slots);
                m_router.setServer(found->id, found->serviceId);
                m_cold.assumeCold(coldNoticeBeats * m_heartbeat);
                m_server.expect();
                m_adopted = { .serverId = found->id, .incarnation = found->incarnation };
            }
            return;
        }
        const auto* self = table.server(m_registration.serverId);
        if (self && self->incarnation == m_registration.incarnation)
            m_router.setServer(self->id, self->serviceId);
    }

    asio::awaitable<void> review()
    {
        asio::steady_timer timer(m_loop);
        while (true) {
            m_server.noteRunning();
            noteSilence();
            followTable(*m_fleet.tables().table());
            m_flows.expire();
            timer.expires_after(m_registration.serverId && !m_fleet.tables().table()->server(m_registration.serverId) ? adoptInterval : reviewInterval);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    void noteSilence()
    {
        const bool silent = m_server.silent();
        if (std::exchange(m_silent, silent) == silent)
            return;
        if (silent)
            log(LogLevel::Warn, "server_silent", { { .key = logkey::reason, .value = "neither heartbeats nor packets for three heartbeats" }, { .key = logkey::remedy, .value = "look at the server beside this agent" } });
        else
            log(LogLevel::Info, "server_heard");
    }

    void followTable(const fleet::FleetTable& table)
    {
        if (table.version() == m_seenVersion)
            return;
        m_seenVersion = table.version();
        adoptServer(table);
        const bool out = table.zoneOut(m_zone);
        // The servers of a zone that comes back may have turned cold, and say so with their next heartbeat only.
        if (m_zoneOut && !out)
            m_cold.assumeCold(coldNoticeBeats * m_heartbeat);
        if (m_zoneOut != out)
            log(LogLevel::Info, out ? "zone_out" : "zone_returned", { { .key = logkey::zone, .value = m_zone }, { .key = logkey::version, .value = std::to_string(m_seenVersion) } });
        m_zoneOut = out;
    }

    const std::string m_zone;
    const std::string m_service;
    const Endpoint m_endpoint;
    const schema::PassThroughSettings m_settings;
    fleet::IFleetClient& m_fleet;
    MetricsRegistry& m_metrics;
    ReadyListenerFactory m_makeReadyListener;
    BeatListenerFactory m_makeBeatListener;
    SystemClock m_clock;
    const Duration m_heartbeat;
    asio::io_context m_loop { 1 };
    ServerLoad m_load;
    LocalServer m_server;
    ColdLimit m_cold;
    HeldFlows m_flows;
    agent::MissLog m_misses { missLogFlows };
    RelayRouter m_router;
    RelayPath m_path;
    fleet::Registration m_registration;
    // What the table had at this endpoint when this agent had heard no server yet.
    fleet::Registration m_adopted;
    // By the route's address; of the loop.
    std::map<Endpoint, Histogram*> m_answers;
    std::uint64_t m_seenVersion = 0;
    bool m_zoneOut = false;
    bool m_silent = false;
    std::unique_ptr<ServerLink> m_link;
    std::unique_ptr<net::IListener> m_beatListener;
    std::unique_ptr<net::IListener> m_readyListener;
    std::thread m_thread;
};

} // namespace

std::unique_ptr<IRoleModule> makePassThroughAgent(const schema::DaemonSettings& settings, fleet::IFleetClient& fleet, const IPacketFormat& format, const ReadyListenerFactory& makeReadyListener, const BeatListenerFactory& makeBeatListener, MetricsRegistry& metrics)
{
    return std::make_unique<PassThroughAgent>(settings, fleet, format, makeReadyListener, makeBeatListener, metrics);
}

} // namespace clementinesill::passthrough

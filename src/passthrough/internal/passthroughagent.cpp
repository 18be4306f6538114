#include "agent/internal/misslog.h"
#include "fleet/fleettable.h"
#include "fleet/ifleetclient.h"
#include "fleet/itablesource.h"
#include "foundation/irolemodule.h"
#include "foundation/log.h"
#include "foundation/systemclock.h"
#include "net/ilistener.h"
#include "passthrough/coldlimit.h"
#include "passthrough/heldflows.h"
#include "passthrough/internal/relaypath.h"
#include "passthrough/internal/serverlink.h"
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
#include <thread>

namespace clementinesill::passthrough {

namespace asio = boost::asio;

namespace {

// Flows whose misses are remembered at once.
constexpr std::size_t missLogFlows = 4096;
// How often flows whose time is over are looked for, and the table is looked at where no packet comes.
constexpr std::chrono::milliseconds reviewInterval { 600 };
// How often the table is looked at while the server is registered and not in it yet.
constexpr std::chrono::milliseconds adoptInterval { 100 };
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
        , m_makeReadyListener(makeReadyListener)
        , m_makeBeatListener(makeBeatListener)
        , m_heartbeat(std::chrono::milliseconds(m_settings.heartbeat_ms()))
        , m_server(m_clock, m_heartbeat)
        , m_cold(m_clock, { .factor = m_settings.cold_factor(), .extraFlows = m_settings.cold_extra_flows() })
        , m_flows(m_load, m_clock, { .idleTimeout = std::chrono::seconds(m_settings.flow_lifetime_seconds()) })
        , m_router({ .zone = m_zone, .flows = m_flows, .server = m_server, .load = m_load, .cold = m_cold, .misses = m_misses, .clock = m_clock, .flowLifetime = std::chrono::seconds(m_settings.flow_lifetime_seconds()) })
        , m_path(m_loop, { .packets = parseEndpoint(m_settings.packet_endpoint()), .serverPackets = parseEndpoint(m_settings.server_packets_endpoint()), .server = parseEndpoint(settings.agent().server_endpoint()), .format = format, .router = m_router, .flows = m_flows, .localServer = m_server, .tables = fleet.tables(), .metrics = metrics, .tableSeen = [this](const auto& table) { followTable(table); }, .wantConfirmation = [this] { m_link->renewSoon(); }, .clock = m_clock })
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
    void onBeat(const ServerBeat& beat)
    {
        if (beat.service != m_service) {
            log(LogLevel::Warn, "heartbeat_refused", { { .key = logkey::server, .value = beat.name }, { .key = logkey::reason, .value = "it names service " + beat.service + ", this VM is set up for " + m_service } });
            return;
        }
        const bool first = !m_server.known();
        const auto change = m_server.accept(beat);
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
            followTable(*m_fleet.tables().table());
            m_flows.expire();
            timer.expires_after(m_registration.serverId && !m_fleet.tables().table()->server(m_registration.serverId) ? adoptInterval : reviewInterval);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
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
    std::uint64_t m_seenVersion = 0;
    bool m_zoneOut = false;
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

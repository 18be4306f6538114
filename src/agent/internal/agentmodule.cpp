#include "agent/agentmodule.h"

#include "admin/decisiontrace.h"
#include "admission/admission.h"
#include "agent/departure.h"
#include "agent/internal/agentreport.h"
#include "agent/internal/flowrouter.h"
#include "agent/internal/flowserver.h"
#include "agent/internal/flowtable.h"
#include "agent/internal/misslog.h"
#include "agent/internal/packetpath.h"
#include "agent/internal/serverregistration.h"
#include "agent/internal/serverwatch.h"
#include "agent/servingstate.h"
#include "fleet/fleettable.h"
#include "fleet/itablesource.h"
#include "foundation/error.h"
#include "foundation/log.h"
#include "foundation/metrics.h"
#include "foundation/seededrandom.h"
#include "foundation/systemclock.h"
#include "requests/irequestgate.h"
#include "settings.pb.h"
#include "tcpstack/itcpstack.h"
#include "tcpstack/lwipstack.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <future>

namespace clementinesill::agent {

namespace asio = boost::asio;

namespace {

// Decisions kept for `explain`.
constexpr std::size_t tracedDecisions = 4096;
constexpr std::chrono::seconds tableTimeout { 10 };
constexpr std::chrono::milliseconds tablePollInterval { 20 };
// How soon a table in force is acted on where no packet comes.
constexpr std::chrono::milliseconds servingInterval { 50 };
constexpr std::chrono::seconds expiryInterval { 1 };
// Flows whose misses are remembered at once.
constexpr std::size_t missLogFlows = 4096;
// Half-open flows are kept to this part of the connections.
constexpr std::uint32_t halfOpenDivisor = 8;
constexpr std::uint32_t minimumHalfOpenFlows = 16;
// Keepalive probes start after this part of the service's idle timeout.
constexpr int keepaliveDivisor = 3;
constexpr std::chrono::milliseconds defaultHealthInterval { 1000 };
// How often the end of aborted flows is looked for.
constexpr int abortTurns = 20;
// Concurrent work while the health endpoint tells that the server is ill.
constexpr std::uint32_t unhealthyLimit = 1;

class AgentModule final : public IRoleModule {
public:
    AgentModule(const schema::DaemonSettings& settings, fleet::IFleetClient& fleet, MetricsRegistry& metrics)
        : m_name(settings.name())
        , m_zone(settings.zone())
        , m_settings(settings.agent())
        , m_fleet(fleet)
        , m_metrics(metrics)
        , m_registration(fleet, announcement())
        , m_admission({ .slots = m_settings.slots(), .connectionLimit = m_settings.connection_limit(), .warmupOff = m_settings.warmup_off() }, m_clock)
    {
    }

    void start() override
    {
        const auto registration = m_registration.announce();
        const auto service = awaitService();
        if (service.protocol == fleet::TransportProtocol::Udp)
            throw Error(ErrorKind::Unsupported, "service '" + service.name + "' is UDP, which the agent does not serve yet", "declare it as TCP");
        wire(service, { .serviceId = service.id, .serverId = registration.serverId, .incarnation = registration.incarnation, .service = service.endpoint, .protocol = service.protocol });
        m_stack->listen(service.endpoint.port, [this](auto caller) { m_server->accept(std::move(caller)); });
        asio::co_spawn(m_loop, m_path->run(*m_stack), asio::detached);
        asio::co_spawn(m_loop, followTable(), asio::detached);
        asio::co_spawn(m_loop, expireFlows(), asio::detached);
        asio::co_spawn(m_loop, m_watch->run(), asio::detached);
        m_loopThread = std::thread([this] { m_loop.run(); });
        m_registration.start();
    }

    const admin::IAdminSource* adminSource() const override { return m_report.get(); }

    void stop() override
    {
        asio::post(m_loop, [this] { startLeaving(); });
        m_registration.leave(true);
        std::promise<DepartureVerdict> departed;
        asio::co_spawn(m_loop, awaitDeparture(departed), asio::detached);
        const bool ended = departed.get_future().get() == DepartureVerdict::FlowsEnded;
        log(ended ? LogLevel::Info : LogLevel::Warn, "agent_left", { { "reason", ended ? "its flows have ended" : "agent.drainTimeoutSeconds is over" } });
        m_registration.stop();
        m_registration.leave(false);
        m_loop.stop();
        m_loopThread.join();
    }

private:
    schema::ServerAnnouncement announcement() const
    {
        schema::ServerAnnouncement result;
        result.set_name(m_name);
        result.set_service(m_settings.service());
        result.set_zone(m_zone);
        result.set_agent_endpoint(m_settings.data_endpoint());
        result.set_weight(std::max(1U, m_settings.weight()));
        result.set_slots(m_settings.slots());
        result.set_connection_limit(m_settings.connection_limit());
        result.set_boot_id(SeededRandom::fromEntropy().next());
        return result;
    }

    fleet::ServiceEntry awaitService() const
    {
        const auto deadline = m_clock.now() + tableTimeout;
        while (m_clock.now() < deadline) {
            const auto table = m_fleet.tables().table();
            if (const auto* service = table->service(m_settings.service()))
                return *service;
            std::this_thread::sleep_for(tablePollInterval);
        }
        throw Error(ErrorKind::NotFound, "no service '" + m_settings.service() + "' in the fleet", "apply a file that declares it, or correct agent.service");
    }

    void wire(const fleet::ServiceEntry& service, const ServerIdentity& identity)
    {
        const auto server = parseEndpoint(m_settings.server_endpoint());
        m_idleTimeout = service.idleTimeout;
        m_state = std::make_unique<ServingState>(identity.serverId, m_zone);
        m_router = std::make_unique<FlowRouter>(FlowRouterOptions { .identity = identity, .flows = m_flows, .misses = m_misses, .admission = m_admission, .clock = m_clock, .halfOpenLimit = std::max(minimumHalfOpenFlows, m_settings.connection_limit() / halfOpenDivisor), .answersRefusals = service.mode == fleet::ServiceMode::Http });
        m_path = std::make_unique<PacketPath>(m_loop, PacketPathOptions { .endpoint = parseEndpoint(m_settings.data_endpoint()), .identity = identity, .router = *m_router, .flows = m_flows, .tables = m_fleet.tables(), .metrics = m_metrics, .trace = m_trace });
        m_stack = tcpstack::makeLwipStack(identity.service.address, m_loop, *m_path);
        if (service.mode == fleet::ServiceMode::Http)
            m_gate = requests::makeRequestGate(gateOptions(service, server), m_admission, m_clock, m_metrics, m_loop);
        m_server = std::make_unique<FlowServer>(m_loop, FlowServerOptions { .identity = identity, .server = server, .flows = m_flows, .admission = m_admission, .clock = m_clock, .metrics = m_metrics, .gate = m_gate.get(), .proxyProtocol = service.proxyProtocol, .keepalive = keepaliveFor(service) });
        m_watch = std::make_unique<ServerWatch>(m_loop, watchOptions(server), m_random, [this](const auto& change) { onHealth(change); });
        m_report = std::make_unique<AgentReport>(m_loop, AgentReportOptions { .identity = identity, .service = service.name, .server = m_name, .flows = m_flows, .admission = m_admission, .tables = m_fleet.tables(), .trace = m_trace, .clock = m_clock });
        m_server->onServerRefused([this] { m_watch->noteRefused(); });
    }

    static requests::RequestGateOptions gateOptions(const fleet::ServiceEntry& service, const Endpoint& server)
    {
        requests::RequestGateOptions options { .service = service.name, .server = server };
        if (service.requestTimeout.count())
            options.requestTimeout = service.requestTimeout;
        return options;
    }

    static KeepaliveOptions keepaliveFor(const fleet::ServiceEntry& service)
    {
        KeepaliveOptions options;
        if (service.idleTimeout.count())
            options.idle = std::min<std::chrono::milliseconds>(options.idle, service.idleTimeout / keepaliveDivisor);
        return options;
    }

    ServerWatchOptions watchOptions(const Endpoint& server) const
    {
        ServerWatchOptions options { .server = server, .healthPath = m_settings.health_path().empty() ? "/health" : m_settings.health_path(), .interval = defaultHealthInterval };
        if (m_settings.health_interval_ms())
            options.interval = std::chrono::milliseconds(m_settings.health_interval_ms());
        return options;
    }

    void onHealth(const HealthChange& change)
    {
        if (change.lower)
            m_admission.lowerLimit(unhealthyLimit, 2 * (m_settings.health_interval_ms() ? std::chrono::milliseconds(m_settings.health_interval_ms()) : defaultHealthInterval));
        if (!change.restarted)
            return;
        log(LogLevel::Info, "server_restarted", { { "reason", "its connections were refused and are accepted again" } });
        m_admission.restartWarmup();
    }

    // Acts on the newest table and tells the controllers how the server fares.
    asio::awaitable<void> followTable()
    {
        asio::steady_timer timer(m_loop);
        while (true) {
            onServingChange(m_state->update(*m_fleet.tables().table()));
            if (m_registration.replaced() && !m_leaving)
                startLeaving();
            const auto load = m_admission.load();
            m_registration.report({ .inProgress = load.requests, .flows = load.flows, .healthy = m_watch->healthy(), .warmupLimit = load.limit });
            timer.expires_after(servingInterval);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    void onServingChange(const ServingChange& change)
    {
        if (change.zoneLeft)
            giveUpFlows();
        if (change.zoneReturned) {
            log(LogLevel::Info, "zone_returned", { { "zone", m_zone } });
            m_admission.restartWarmup();
            m_path->setMuted(false);
        }
        if (change.drainStarted || change.drainEnded)
            m_report->setDraining(change.drainStarted || m_leaving);
        if (change.drainStarted && m_gate)
            m_gate->drain();
        if (change.drainEnded && m_gate && !m_leaving)
            m_gate->resume();
    }

    // The availability zone is out: nothing is sent any more, and what was open is given up.
    void giveUpFlows()
    {
        m_path->setMuted(true);
        const auto given = m_server->abortAll();
        std::vector<RemovedFlow> remaining;
        m_flows.forEach([&](const auto& key, const auto& entry) { remaining.push_back({ .key = key, .entry = entry }); });
        for (const auto& flow : remaining) {
            m_flows.erase(flow.key);
            m_stack->forget(flow.key.caller);
            if (flow.holdsAdmission())
                m_admission.releaseFlow();
        }
        m_metrics.counter("agent_flows_given_up_total", { { "reason", "zone_out" } }) += given;
        log(LogLevel::Warn, "zone_out", { { "zone", m_zone }, { "flows", std::to_string(given) } });
    }

    void startLeaving()
    {
        m_leaving = true;
        m_report->setDraining(true);
        m_router->setLeaving(true);
        if (m_gate)
            m_gate->drain();
    }

    asio::awaitable<void> awaitDeparture(std::promise<DepartureVerdict>& departed)
    {
        Departure departure(m_clock, std::chrono::seconds(m_settings.drain_timeout_seconds()));
        asio::steady_timer timer(m_loop);
        auto verdict = DepartureVerdict::Wait;
        while (verdict == DepartureVerdict::Wait) {
            timer.expires_after(servingInterval);
            co_await timer.async_wait(asio::use_awaitable);
            verdict = departure.check(m_flows.openFlows() + m_server->servedFlows(), m_stack->undelivered());
        }
        if (verdict == DepartureVerdict::TimedOut)
            co_await giveUpTheRest(timer);
        departed.set_value(verdict);
    }

    // The tasks of aborted flows end on the loop, a turn later.
    asio::awaitable<void> giveUpTheRest(asio::steady_timer& timer)
    {
        m_metrics.counter("agent_flows_given_up_total", { { "reason", "drain_timeout" } }) += m_server->abortAll();
        for (int turn = 0; turn < abortTurns && m_server->servedFlows(); ++turn) {
            timer.expires_after(servingInterval);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    asio::awaitable<void> expireFlows()
    {
        asio::steady_timer timer(m_loop);
        while (true) {
            timer.expires_after(expiryInterval);
            co_await timer.async_wait(asio::use_awaitable);
            for (const auto& flow : m_flows.expire(m_clock.now())) {
                if (flow.holdsAdmission())
                    m_admission.releaseFlow();
            }
            if (m_idleTimeout.count())
                m_metrics.counter("agent_flows_given_up_total", { { "reason", "idle" } }) += m_server->abortIdle(m_idleTimeout);
        }
    }

    const std::string m_name;
    const std::string m_zone;
    const schema::AgentSettings m_settings;
    fleet::IFleetClient& m_fleet;
    MetricsRegistry& m_metrics;
    SystemClock m_clock;
    SeededRandom m_random = SeededRandom::fromEntropy();
    std::chrono::seconds m_idleTimeout { 0 };
    bool m_leaving = false;
    ServerRegistration m_registration;
    asio::io_context m_loop { 1 };
    FlowTable m_flows;
    MissLog m_misses { missLogFlows };
    admission::Admission m_admission;
    admin::DecisionTrace m_trace { tracedDecisions };
    std::unique_ptr<ServingState> m_state;
    std::unique_ptr<FlowRouter> m_router;
    std::unique_ptr<PacketPath> m_path;
    std::shared_ptr<tcpstack::ITcpStack> m_stack;
    std::unique_ptr<requests::IRequestGate> m_gate;
    std::unique_ptr<FlowServer> m_server;
    std::unique_ptr<ServerWatch> m_watch;
    std::unique_ptr<AgentReport> m_report;
    std::thread m_loopThread;
};

} // namespace

std::unique_ptr<IRoleModule> makeAgentModule(const schema::DaemonSettings& settings, fleet::IFleetClient& fleet, MetricsRegistry& metrics)
{
    return std::make_unique<AgentModule>(settings, fleet, metrics);
}

} // namespace clementinesill::agent

#include "agent/agentmodule.h"

#include "admin/decisiontrace.h"
#include "admission/admission.h"
#include "agent/draintracker.h"
#include "agent/internal/agentreport.h"
#include "agent/internal/flowrouter.h"
#include "agent/internal/flowserver.h"
#include "agent/internal/flowtable.h"
#include "agent/internal/misslog.h"
#include "agent/internal/packetpath.h"
#include "agent/internal/serverhealthchecker.h"
#include "agent/internal/serverregistration.h"
#include "agent/servingstate.h"
#include "fleet/fleettable.h"
#include "fleet/itablesource.h"
#include "foundation/error.h"
#include "foundation/log.h"
#include "foundation/metrics.h"
#include "foundation/seededrandom.h"
#include "foundation/systemclock.h"
#include "requests/irequestproxy.h"
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

// Decisions kept for the command `explain`.
constexpr std::size_t decisionTraceCapacity = 4096;
constexpr std::chrono::seconds serviceLookupTimeout { 10 };
constexpr std::chrono::milliseconds serviceLookupInterval { 20 };
// Interval of drain checks and of checks for a new table. Packets are always routed by the newest table.
constexpr std::chrono::milliseconds stateUpdateInterval { 50 };
constexpr std::chrono::seconds flowExpiryInterval { 1 };
// Maximum number of flows whose misses are recorded.
constexpr std::size_t missLogCapacity = 4096;
// Half-open flows may use at most 1/8 of the connection limit, but at least minimumHalfOpenFlows.
constexpr std::uint32_t halfOpenDivisor = 8;
constexpr std::uint32_t minimumHalfOpenFlows = 16;
// Keepalive probes start after at most 1/3 of the service's idle timeout.
constexpr int keepaliveDivisor = 3;
constexpr std::chrono::milliseconds defaultHealthInterval { 1000 };
// Maximum number of checks, one per stateUpdateInterval, whether the aborted flows have ended.
constexpr int maximumAbortPolls = 20;
// Concurrency limit while the health endpoint reports the server as unhealthy.
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
        const auto registration = m_registration.registerServer();
        const auto service = waitForService();
        if (service.protocol == fleet::TransportProtocol::Udp)
            throw Error(ErrorKind::Unsupported, "service '" + service.name + "' is UDP, which the agent does not serve yet", "declare it as TCP");
        createComponents(service, { .serviceId = service.id, .serverId = registration.serverId, .incarnation = registration.incarnation, .service = service.endpoint, .protocol = service.protocol });
        m_stack->listen(service.endpoint.port, [this](auto caller) { m_flowServer->accept(std::move(caller)); });
        asio::co_spawn(m_loop, m_packetPath->run(*m_stack), asio::detached);
        asio::co_spawn(m_loop, applyTableUpdates(), asio::detached);
        asio::co_spawn(m_loop, expireFlows(), asio::detached);
        asio::co_spawn(m_loop, m_healthChecker->run(), asio::detached);
        m_loopThread = std::thread([this] { m_loop.run(); });
        m_registration.start();
    }

    const admin::IAdminSource* adminSource() const override { return m_report.get(); }

    void stop() override
    {
        asio::post(m_loop, [this] { beginShutdown(); });
        m_registration.leave(true);
        std::promise<DrainStatus> drained;
        asio::co_spawn(m_loop, waitForDrain(drained), asio::detached);
        const bool ended = drained.get_future().get() == DrainStatus::Complete;
        log(ended ? LogLevel::Info : LogLevel::Warn, "agent_left", { { "reason", ended ? "all flows have ended" : "agent.drainTimeoutSeconds has passed" } });
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

    fleet::ServiceEntry waitForService() const
    {
        const auto deadline = m_clock.now() + serviceLookupTimeout;
        while (m_clock.now() < deadline) {
            const auto table = m_fleet.tables().table();
            if (const auto* service = table->service(m_settings.service()))
                return *service;
            std::this_thread::sleep_for(serviceLookupInterval);
        }
        throw Error(ErrorKind::NotFound, "no service '" + m_settings.service() + "' in the fleet", "apply a file that declares it, or correct agent.service");
    }

    void createComponents(const fleet::ServiceEntry& service, const ServerIdentity& identity)
    {
        const auto server = parseEndpoint(m_settings.server_endpoint());
        m_flowIdleTimeout = service.idleTimeout;
        m_servingState = std::make_unique<ServingState>(identity.serverId, m_zone);
        m_router = std::make_unique<FlowRouter>(FlowRouterOptions { .identity = identity, .flows = m_flows, .misses = m_misses, .admission = m_admission, .clock = m_clock, .halfOpenLimit = std::max(minimumHalfOpenFlows, m_settings.connection_limit() / halfOpenDivisor), .canRejectRequests = service.mode == fleet::ServiceMode::Http });
        m_packetPath = std::make_unique<PacketPath>(m_loop, PacketPathOptions { .endpoint = parseEndpoint(m_settings.data_endpoint()), .identity = identity, .router = *m_router, .flows = m_flows, .tables = m_fleet.tables(), .metrics = m_metrics, .trace = m_trace });
        m_stack = tcpstack::makeLwipStack(identity.service.address, m_loop, *m_packetPath);
        if (service.mode == fleet::ServiceMode::Http)
            m_requestProxy = requests::makeRequestProxy(requestProxyOptions(service, server), m_admission, m_clock, m_metrics, m_loop);
        m_flowServer = std::make_unique<FlowServer>(m_loop, FlowServerOptions { .identity = identity, .server = server, .flows = m_flows, .admission = m_admission, .clock = m_clock, .metrics = m_metrics, .requestProxy = m_requestProxy.get(), .proxyProtocol = service.proxyProtocol, .keepalive = keepaliveFor(service) });
        m_healthChecker = std::make_unique<ServerHealthChecker>(m_loop, healthCheckerOptions(server), m_random, [this](const auto& change) { onHealthChange(change); });
        m_report = std::make_unique<AgentReport>(m_loop, AgentReportOptions { .identity = identity, .service = service.name, .server = m_name, .flows = m_flows, .admission = m_admission, .tables = m_fleet.tables(), .trace = m_trace, .clock = m_clock });
        m_flowServer->onServerRefused([this] { m_healthChecker->recordConnectionRefused(); });
    }

    static requests::RequestProxyOptions requestProxyOptions(const fleet::ServiceEntry& service, const Endpoint& server)
    {
        requests::RequestProxyOptions options { .service = service.name, .server = server };
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

    ServerHealthCheckerOptions healthCheckerOptions(const Endpoint& server) const
    {
        ServerHealthCheckerOptions options { .server = server, .healthPath = m_settings.health_path().empty() ? "/health" : m_settings.health_path(), .interval = defaultHealthInterval };
        if (m_settings.health_interval_ms())
            options.interval = std::chrono::milliseconds(m_settings.health_interval_ms());
        return options;
    }

    void onHealthChange(const HealthChange& change)
    {
        if (change.shouldLowerLimit)
            m_admission.lowerLimit(unhealthyLimit, 2 * (m_settings.health_interval_ms() ? std::chrono::milliseconds(m_settings.health_interval_ms()) : defaultHealthInterval));
        if (!change.restarted)
            return;
        log(LogLevel::Info, "server_restarted", { { "reason", "the server refused connections and accepts them again" } });
        m_admission.restartWarmup();
    }

    // Applies the newest table and updates the report to the controllers, periodically.
    asio::awaitable<void> applyTableUpdates()
    {
        asio::steady_timer timer(m_loop);
        while (true) {
            onServingChange(m_servingState->update(*m_fleet.tables().table()));
            if (m_registration.isReplaced() && !m_shuttingDown)
                beginShutdown();
            const auto load = m_admission.load();
            m_registration.setReport({ .inProgress = load.requests, .flows = load.flows, .healthy = m_healthChecker->healthy(), .warmupLimit = load.limit });
            timer.expires_after(stateUpdateInterval);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    void onServingChange(const ServingChange& change)
    {
        if (change.zoneTakenOut)
            abortAllFlows();
        if (change.zoneReturned) {
            log(LogLevel::Info, "zone_returned", { { "zone", m_zone } });
            m_admission.restartWarmup();
            m_packetPath->setSendingSuspended(false);
        }
        if (change.drainStarted || change.drainEnded)
            m_report->setDraining(change.drainStarted || m_shuttingDown);
        if (change.drainStarted && m_requestProxy)
            m_requestProxy->drain();
        if (change.drainEnded && m_requestProxy && !m_shuttingDown)
            m_requestProxy->resume();
    }

    // For an availability zone that is taken out of service: suspends sending and removes all flows.
    void abortAllFlows()
    {
        m_packetPath->setSendingSuspended(true);
        const auto aborted = m_flowServer->abortAll();
        std::vector<RemovedFlow> remaining;
        m_flows.forEach([&](const auto& key, const auto& entry) { remaining.push_back({ .key = key, .entry = entry }); });
        for (const auto& flow : remaining) {
            m_flows.erase(flow.key);
            m_stack->discardConnection(flow.key.caller);
            if (flow.holdsAdmission())
                m_admission.releaseFlow();
        }
        m_metrics.counter("agent_flows_given_up_total", { { "reason", "zone_out" } }) += aborted;
        log(LogLevel::Warn, "zone_out", { { "zone", m_zone }, { "flows", std::to_string(aborted) } });
    }

    void beginShutdown()
    {
        m_shuttingDown = true;
        m_report->setDraining(true);
        m_router->setShuttingDown(true);
        if (m_requestProxy)
            m_requestProxy->drain();
    }

    asio::awaitable<void> waitForDrain(std::promise<DrainStatus>& drained)
    {
        DrainTracker tracker(m_clock, std::chrono::seconds(m_settings.drain_timeout_seconds()));
        asio::steady_timer timer(m_loop);
        auto status = DrainStatus::Waiting;
        while (status == DrainStatus::Waiting) {
            timer.expires_after(stateUpdateInterval);
            co_await timer.async_wait(asio::use_awaitable);
            status = tracker.check(m_flows.openFlowCount() + m_flowServer->servedFlowCount(), m_stack->unacknowledgedConnectionCount());
        }
        if (status == DrainStatus::TimedOut)
            co_await abortRemainingFlows(timer);
        drained.set_value(status);
    }

    // Waits for the coroutines of the aborted flows, which end in later iterations of the loop.
    asio::awaitable<void> abortRemainingFlows(asio::steady_timer& timer)
    {
        m_metrics.counter("agent_flows_given_up_total", { { "reason", "drain_timeout" } }) += m_flowServer->abortAll();
        for (int poll = 0; poll < maximumAbortPolls && m_flowServer->servedFlowCount(); ++poll) {
            timer.expires_after(stateUpdateInterval);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

    asio::awaitable<void> expireFlows()
    {
        asio::steady_timer timer(m_loop);
        while (true) {
            timer.expires_after(flowExpiryInterval);
            co_await timer.async_wait(asio::use_awaitable);
            for (const auto& flow : m_flows.expire(m_clock.now())) {
                if (flow.holdsAdmission())
                    m_admission.releaseFlow();
            }
            if (m_flowIdleTimeout.count())
                m_metrics.counter("agent_flows_given_up_total", { { "reason", "idle" } }) += m_flowServer->abortIdle(m_flowIdleTimeout);
        }
    }

    const std::string m_name;
    const std::string m_zone;
    const schema::AgentSettings m_settings;
    fleet::IFleetClient& m_fleet;
    MetricsRegistry& m_metrics;
    SystemClock m_clock;
    SeededRandom m_random = SeededRandom::fromEntropy();
    std::chrono::seconds m_flowIdleTimeout { 0 };
    bool m_shuttingDown = false;
    ServerRegistration m_registration;
    asio::io_context m_loop { 1 };
    FlowTable m_flows;
    MissLog m_misses { missLogCapacity };
    admission::Admission m_admission;
    admin::DecisionTrace m_trace { decisionTraceCapacity };
    std::unique_ptr<ServingState> m_servingState;
    std::unique_ptr<FlowRouter> m_router;
    std::unique_ptr<PacketPath> m_packetPath;
    std::shared_ptr<tcpstack::ITcpStack> m_stack;
    std::unique_ptr<requests::IRequestProxy> m_requestProxy;
    std::unique_ptr<FlowServer> m_flowServer;
    std::unique_ptr<ServerHealthChecker> m_healthChecker;
    std::unique_ptr<AgentReport> m_report;
    std::thread m_loopThread;
};

} // namespace

std::unique_ptr<IRoleModule> makeAgentModule(const schema::DaemonSettings& settings, fleet::IFleetClient& fleet, MetricsRegistry& metrics)
{
    return std::make_unique<AgentModule>(settings, fleet, metrics);
}

} // namespace clementinesill::agent

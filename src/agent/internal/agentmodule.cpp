#include "agent/agentmodule.h"

#include "admission/iadmission.h"
#include "agent/internal/flowrouter.h"
#include "agent/internal/flowserver.h"
#include "agent/internal/flowtable.h"
#include "agent/internal/misslog.h"
#include "agent/internal/packetpath.h"
#include "control.pb.h"
#include "fleet/fleettable.h"
#include "fleet/ifleetclient.h"
#include "fleet/itablesource.h"
#include "foundation/error.h"
#include "foundation/log.h"
#include "foundation/seededrandom.h"
#include "foundation/systemclock.h"
#include "settings.pb.h"
#include "tcpstack/itcpstack.h"
#include "tcpstack/lwipstack.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <condition_variable>
#include <thread>

namespace clementinesill::agent {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds tableTimeout { 10 };
constexpr std::chrono::milliseconds tablePollInterval { 20 };
constexpr std::chrono::milliseconds renewInterval { 700 };
constexpr std::chrono::seconds expiryInterval { 1 };
// Flows whose misses are remembered at once.
constexpr std::size_t missLogFlows = 4096;

// Limits connections alone, until admission is wired.
class ConnectionLimit final : public admission::IAdmission {
public:
    explicit ConnectionLimit(std::uint32_t limit)
        : m_limit(limit)
    {
    }

    admission::AdmissionDecision admitFlow() override
    {
        if (m_draining)
            return { .reason = admission::AdmissionReason::Draining };
        if (m_flows >= m_limit)
            return { .reason = admission::AdmissionReason::ConnectionLimit };
        ++m_flows;
        return {};
    }
    void releaseFlow() override { --m_flows; }
    admission::AdmissionDecision admitRequest() override { return {}; }
    void finishRequest(const admission::RequestResult&) override { }
    void drain() override { m_draining = true; }
    void restartWarmup() override { }
    admission::AdmissionLoad load() const override { return { .flows = m_flows, .limit = m_limit }; }

private:
    std::uint32_t m_limit;
    std::uint32_t m_flows = 0;
    bool m_draining = false;
};

class AgentModule final : public IRoleModule {
public:
    AgentModule(const schema::DaemonSettings& settings, fleet::IFleetClient& fleet, MetricsRegistry& metrics)
        : m_name(settings.name())
        , m_zone(settings.zone())
        , m_settings(settings.agent())
        , m_fleet(fleet)
        , m_metrics(metrics)
        , m_admission(m_settings.connection_limit())
    {
    }

    void start() override
    {
        const auto identity = registerServer();
        m_router = std::make_unique<FlowRouter>(FlowRouterOptions { .identity = identity, .flows = m_flows, .misses = m_misses, .admission = m_admission, .clock = m_clock });
        m_path = std::make_unique<PacketPath>(m_loop, PacketPathOptions { .endpoint = parseEndpoint(m_settings.data_endpoint()), .identity = identity, .router = *m_router, .flows = m_flows, .tables = m_fleet.tables(), .metrics = m_metrics });
        m_stack = tcpstack::makeLwipStack(identity.service.address, m_loop, *m_path);
        m_server = std::make_unique<FlowServer>(m_loop, FlowServerOptions { .identity = identity, .server = parseEndpoint(m_settings.server_endpoint()), .flows = m_flows, .admission = m_admission });
        m_stack->listen(identity.service.port, [this](auto caller) { m_server->accept(std::move(caller)); });
        asio::co_spawn(m_loop, m_path->run(*m_stack), asio::detached);
        asio::co_spawn(m_loop, expireFlows(), asio::detached);
        m_loopThread = std::thread([this] { m_loop.run(); });
        m_renewThread = std::thread([this] { renewUntilStopped(); });
    }

    void stop() override
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_wake.notify_all();
        m_renewThread.join();
        m_fleet.leave(m_registration, false);
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
        result.set_boot_id(m_bootId);
        return result;
    }

    ServerIdentity registerServer()
    {
        m_registration = m_fleet.registerServer(announcement());
        const auto service = awaitService();
        return { .serviceId = service.id, .serverId = m_registration.serverId, .incarnation = m_registration.incarnation, .service = service.endpoint, .protocol = service.protocol };
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

    void renewUntilStopped()
    {
        std::unique_lock lock(m_mutex);
        while (!m_wake.wait_for(lock, renewInterval, [this] { return m_stopping; })) {
            lock.unlock();
            renew();
            lock.lock();
        }
    }

    void renew()
    {
        schema::RenewRequest request;
        request.set_server_id(m_registration.serverId);
        request.set_incarnation(m_registration.incarnation);
        request.set_healthy(true);
        request.set_flows(m_admission.load().flows);
        try {
            if (!m_fleet.renew(request))
                m_fleet.registerServer(announcement());
        } catch (const Error& error) {
            log(LogLevel::Warn, "renew_failed", { { "reason", error.what() } });
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
        }
    }

    const std::string m_name;
    const std::string m_zone;
    const schema::AgentSettings m_settings;
    fleet::IFleetClient& m_fleet;
    MetricsRegistry& m_metrics;
    SystemClock m_clock;
    const std::uint64_t m_bootId = SeededRandom::fromEntropy().next();
    asio::io_context m_loop { 1 };
    FlowTable m_flows;
    MissLog m_misses { missLogFlows };
    ConnectionLimit m_admission;
    fleet::Registration m_registration;
    std::unique_ptr<FlowRouter> m_router;
    std::unique_ptr<PacketPath> m_path;
    std::shared_ptr<tcpstack::ITcpStack> m_stack;
    std::unique_ptr<FlowServer> m_server;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    std::thread m_loopThread;
    std::thread m_renewThread;
};

} // namespace

std::unique_ptr<IRoleModule> makeAgentModule(const schema::DaemonSettings& settings, fleet::IFleetClient& fleet, MetricsRegistry& metrics)
{
    return std::make_unique<AgentModule>(settings, fleet, metrics);
}

} // namespace clementinesill::agent

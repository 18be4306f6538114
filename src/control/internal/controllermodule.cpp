#include "control/controllermodule.h"

#include "control/internal/controller.h"
#include "control/internal/discoveredgroupoptions.h"
#include "control/internal/fleetservice.h"
#include "control/internal/operatorservice.h"
#include "control/internal/peerservice.h"
#include "control/internal/replicatedcommandlog.h"
#include "foundation/error.h"
#include "foundation/log.h"
#include "foundation/systemclock.h"
#include "net/credentials.h"
#include "net/ilistener.h"
#include "settings.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/use_future.hpp>
#include <thread>

namespace clementinesill::control {

namespace {

// Time limit for open calls to complete when the controller stops.
constexpr auto shutdownTimeout = std::chrono::seconds(2);
constexpr std::uint32_t defaultServerLeaseMs = 3000;
// A snapshot is sent in a single message.
constexpr int maximumMessageBytes = 256 << 20;

ReplicatedLogOptions replicatedLogOptions(const schema::DaemonSettings& settings, const ControllerModuleOptions& module)
{
    const auto& controller = settings.controller();
    ReplicatedLogOptions options { .name = settings.name(), .endpoint = controller.endpoint() };
    for (const auto& peer : controller.peers())
        options.peers.push_back({ .name = peer.name(), .endpoint = peer.endpoint() });
    if (module.seeds)
        setDiscoveredGroupOptions(options, settings.discovery().first_start(), module.seeds());
    if (controller.snapshot_entries())
        options.snapshotEntries = controller.snapshot_entries();
    return options;
}

const std::string& dataFolder(const schema::DaemonSettings& settings)
{
    if (settings.controller().data_folder().empty())
        throw Error(ErrorKind::InvalidSettings, "the settings contain no data folder", "set controller.dataFolder");
    return settings.controller().data_folder();
}

class ControllerModule final : public IRoleModule {
public:
    ControllerModule(const schema::DaemonSettings& settings, MetricsRegistry& metrics, const ControllerModuleOptions& module)
        : m_daemonSettings(settings)
        , m_controllerSettings(settings.controller())
        , m_operatorListenerFactory(module.operatorListener)
        , m_credentials(net::daemonCredentials(settings))
        , m_workGuard(boost::asio::make_work_guard(m_context))
        , m_log(m_context, replicatedLogOptions(settings, module), dataFolder(settings), m_state, m_credentials.channel(), m_clock, metrics, module.seeds)
        , m_controller(m_context, controllerOptions(settings), m_state, m_log, m_clock)
        , m_fleetService(m_context, m_controller)
        , m_operatorService(m_context, m_controller)
        , m_peerService(m_context, m_log)
    {
    }

    ~ControllerModule() override { stop(); }

    void start() override
    {
        grpc::ServerBuilder builder;
        int port = 0;
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.AddListeningPort(m_controllerSettings.endpoint(), m_credentials.server(), &port);
        builder.RegisterService(&m_fleetService);
        builder.RegisterService(&m_operatorService);
        builder.RegisterService(&m_peerService);
        builder.SetMaxReceiveMessageSize(maximumMessageBytes);
        m_server = builder.BuildAndStart();
        if (!m_server || !port)
            throw Error(ErrorKind::AddressInUse, "cannot listen on " + m_controllerSettings.endpoint(), "change controller.endpoint or stop the process that uses it");
        m_log.start([this] { m_controller.notify(); });
        boost::asio::co_spawn(
            m_context, [this] { return m_controller.superviseServers(); }, boost::asio::detached);
        m_thread = std::thread([this] { m_context.run(); });
        if (m_operatorListenerFactory)
            m_operatorListener = m_operatorListenerFactory(m_context, m_controller, m_daemonSettings);
        log(LogLevel::Info, "controller_serving", { { .key = "endpoint", .value = m_controllerSettings.endpoint() } });
    }

    void stop() override
    {
        if (!m_thread.joinable())
            return;
        if (m_operatorListener)
            m_operatorListener->stop();
        // The server is shut down last, since the election of another leader may need this controller's vote.
        boost::asio::co_spawn(m_context, leave(), boost::asio::use_future).wait();
        m_server->Shutdown(std::chrono::system_clock::now() + shutdownTimeout);
        m_workGuard.reset();
        m_thread.join();
    }

private:
    boost::asio::awaitable<void> leave()
    {
        co_await m_log.leaveAndStop();
        m_controller.stop();
    }

    static ControllerOptions controllerOptions(const schema::DaemonSettings& settings)
    {
        const auto lease = settings.controller().server_lease_ms();
        return { .serverLease = std::chrono::milliseconds(lease ? lease : defaultServerLeaseMs) };
    }

    schema::DaemonSettings m_daemonSettings;
    schema::ControllerSettings m_controllerSettings;
    OperatorListenerFactory m_operatorListenerFactory;
    net::Credentials m_credentials;
    SystemClock m_clock;
    FleetState m_state;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
    ReplicatedCommandLog m_log;
    Controller m_controller;
    FleetService m_fleetService;
    OperatorService m_operatorService;
    PeerService m_peerService;
    std::unique_ptr<grpc::Server> m_server;
    std::unique_ptr<net::IListener> m_operatorListener;
    std::thread m_thread;
};

} // namespace

std::unique_ptr<IRoleModule> makeControllerModule(const schema::DaemonSettings& settings, MetricsRegistry& metrics, const ControllerModuleOptions& options)
{
    return std::make_unique<ControllerModule>(settings, metrics, options);
}

} // namespace clementinesill::control

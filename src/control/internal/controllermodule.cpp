#include "control/controllermodule.h"

#include "control/internal/controller.h"
#include "control/internal/jsonconfigreader.h"
#include "control/internal/rpcservices.h"
#include "foundation/error.h"
#include "foundation/log.h"
#include "foundation/seededrandom.h"
#include "foundation/systemclock.h"
#include "settings.pb.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <thread>

namespace clementinesill::control {

namespace {

// How long open calls may take to end when the controller stops.
constexpr auto shutdownTimeout = std::chrono::seconds(2);
constexpr std::uint32_t defaultServerLeaseMs = 3000;

// Commands applied at once by one controller; the first of the group is the one that leads.
class LocalCommandLog final : public ICommandLog {
public:
    LocalCommandLog(const schema::ControllerSettings& settings, FleetState& state)
        : m_state(state)
        , m_leaderEndpoint(settings.peers().empty() ? settings.endpoint() : settings.peers(0).endpoint())
        , m_leading(m_leaderEndpoint == settings.endpoint())
    {
    }

    void onApplied(std::function<void()> notify) { m_notify = std::move(notify); }

    boost::asio::awaitable<CommandResult> submit(schema::Command command) override
    {
        if (!m_leading)
            co_return CommandResult { .code = schema::Outcome::CODE_NOT_LEADER, .message = "this controller does not lead; ask the one in leader_hint" };
        const auto before = m_state.version();
        auto result = m_state.apply(command);
        if (m_state.version() != before)
            m_notify();
        co_return result;
    }

    bool leading() const override { return m_leading; }
    bool current() const override { return m_leading; }
    std::string leaderEndpoint() const override { return m_leaderEndpoint; }

private:
    FleetState& m_state;
    std::string m_leaderEndpoint;
    bool m_leading;
    std::function<void()> m_notify;
};

class ControllerModule final : public IRoleModule {
public:
    explicit ControllerModule(const schema::DaemonSettings& settings)
        : m_settings(settings.controller())
        , m_work(boost::asio::make_work_guard(m_context))
        , m_log(m_settings, m_state)
        , m_controller(m_context, options(settings), m_state, m_log, m_reader, m_clock)
        , m_fleetService(m_context, m_controller)
        , m_operatorService(m_context, m_controller)
    {
        m_log.onApplied([this] { m_controller.notify(); });
    }

    ~ControllerModule() override { stop(); }

    void start() override
    {
        grpc::ServerBuilder builder;
        int port = 0;
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.AddListeningPort(m_settings.endpoint(), grpc::InsecureServerCredentials(), &port);
        builder.RegisterService(&m_fleetService);
        builder.RegisterService(&m_operatorService);
        m_server = builder.BuildAndStart();
        if (!m_server || !port)
            throw Error(ErrorKind::AddressInUse, "cannot listen on " + m_settings.endpoint(), "change controller.endpoint or stop the process that uses it");
        found();
        boost::asio::co_spawn(
            m_context, [this] { return m_controller.superviseServers(); }, boost::asio::detached);
        m_thread = std::thread([this] { m_context.run(); });
        log(LogLevel::Info, "controller_serving", { { .key = "endpoint", .value = m_settings.endpoint() } });
    }

    void stop() override
    {
        if (!m_thread.joinable())
            return;
        boost::asio::post(m_context, [this] { m_controller.stop(); });
        m_server->Shutdown(std::chrono::system_clock::now() + shutdownTimeout);
        m_work.reset();
        m_context.stop();
        m_thread.join();
    }

private:
    static ControllerOptions options(const schema::DaemonSettings& settings)
    {
        const auto lease = settings.controller().server_lease_ms();
        return { .name = settings.name(), .endpoint = settings.controller().endpoint(), .serverLease = std::chrono::milliseconds(lease ? lease : defaultServerLeaseMs) };
    }

    void found()
    {
        schema::Command command;
        command.mutable_found_fleet()->set_hash_seed(SeededRandom::fromEntropy().next());
        m_state.apply(command);
    }

    schema::ControllerSettings m_settings;
    SystemClock m_clock;
    JsonConfigReader m_reader;
    FleetState m_state;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    LocalCommandLog m_log;
    Controller m_controller;
    FleetService m_fleetService;
    OperatorService m_operatorService;
    std::unique_ptr<grpc::Server> m_server;
    std::thread m_thread;
};

} // namespace

std::unique_ptr<IRoleModule> makeControllerModule(const schema::DaemonSettings& settings, MetricsRegistry&)
{
    return std::make_unique<ControllerModule>(settings);
}

} // namespace clementinesill::control

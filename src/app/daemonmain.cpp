#include "admin/adminpages.h"
#include "admin/adminserver.h"
#include "agent/agentmodule.h"
#include "control/controllermodule.h"
#include "dataplane/balancermodule.h"
#include "fleet/fleetclient.h"
#include "foundation/error.h"
#include "foundation/hash.h"
#include "foundation/log.h"
#include "foundation/metrics.h"
#include "foundation/systemclock.h"
#include "foundation/version.h"
#include "operators/settings.h"
#include "operators/types/exitcode.h"
#include "passthrough/passthroughmodules.h"
#include "platform/platform.h"
#include "platform/platformpacket.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <execinfo.h>
#include <google/protobuf/util/message_differencer.h>
#include <iostream>
#include <span>
#include <sstream>
#include <unistd.h>

using namespace clementinesill;
using operators::ExitCode;

namespace {

// Frames of the stack that a log line names when the process fails.
constexpr int loggedFrames = 24;

// Leaves the addresses of the failing thread's frames in the log before the process aborts; addr2line turns them into lines.
[[noreturn]] void logAndAbort()
{
    std::array<void*, loggedFrames> frames {};
    const auto count = backtrace(frames.data(), loggedFrames);
    std::ostringstream addresses;
    for (int frame = 0; frame < count; ++frame)
        addresses << (frame ? " " : "") << frames.at(static_cast<std::size_t>(frame));
    log(LogLevel::Error, "daemon_aborted", { { .key = "frames", .value = addresses.str() }, { .key = logkey::remedy, .value = "report this with the program's version" } });
    std::abort();
}

sigset_t handledSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    return set;
}

// JSON unless the lines go to a terminal and no format is set.
bool wantsJson(const schema::LogSettings& settings)
{
    if (!settings.format().empty())
        return settings.format() == "json";
    return !settings.file().empty() || !isatty(STDERR_FILENO);
}

void startLog(const schema::DaemonSettings& settings)
{
    const auto& options = settings.log();
    LogOptions log { .level = parseLogLevel(options.level()), .json = wantsJson(options), .file = options.file(), .standardOutput = options.standard_output(), .daemon = settings.name() };
    if (options.lines_per_second())
        log.linesPerSecond = options.lines_per_second();
    configureLog(log);
}

// Tells settings apart in the log.
std::string digest(const schema::DaemonSettings& settings)
{
    const auto bytes = settings.SerializeAsString();
    std::ostringstream text;
    text << std::hex << hash64(std::as_bytes(std::span(bytes)), 0);
    return text.str();
}

void exportLogCounts(MetricsRegistry& metrics)
{
    metrics.describe("log_lines", "lines of the log since the start, by what became of them");
    metrics.addGauge("log_lines", { { "outcome", "written" } }, [] { return static_cast<double>(logCounts().written); });
    metrics.addGauge("log_lines", { { "outcome", "suppressed" } }, [] { return static_cast<double>(logCounts().suppressed); });
    metrics.addGauge("log_lines", { { "outcome", "lost" } }, [] { return static_cast<double>(logCounts().lost); });
}

// The log level changes while the daemon runs; any other change waits for a restart, and the log says so.
void reload(const std::string& path, schema::DaemonSettings settings)
{
    try {
        auto changed = operators::loadDaemonSettings(path);
        setLogLevel(parseLogLevel(changed.log().level()));
        changed.mutable_log()->clear_level();
        settings.mutable_log()->clear_level();
        log(LogLevel::Info, "settings_reloaded", { { .key = logkey::version, .value = std::string(programVersion) }, { .key = "settings", .value = digest(changed) } });
        if (!google::protobuf::util::MessageDifferencer::Equals(changed, settings))
            log(LogLevel::Warn, "settings_need_restart", { { logkey::reason, "more than log.level has changed" }, { logkey::remedy, "restart the daemon" } });
    } catch (const Error& error) {
        log(LogLevel::Error, "settings_refused", { { logkey::reason, error.problem() }, { logkey::remedy, error.remedy() } });
    }
}

// Returns once the process is told to end.
void waitForStop(const sigset_t& signals, const std::string& path, const schema::DaemonSettings& settings)
{
    int signal = 0;
    while (sigwait(&signals, &signal) == 0 && signal == SIGHUP)
        reload(path, settings);
}

std::vector<std::string> seedControllers(const schema::DaemonSettings& settings)
{
    std::vector<std::string> endpoints;
    for (const auto& seed : settings.discovery().seeds())
        endpoints.push_back(format(Endpoint { .address = parseEndpoint(seed).address, .port = static_cast<std::uint16_t>(settings.discovery().port()) }));
    return endpoints;
}

// The seeds may change in the file without a signal, so it is read each time. Empty if the settings name the controllers.
fleet::ControllerSource controllerSource(const std::string& path, const schema::DaemonSettings& settings)
{
    if (!settings.has_discovery())
        return {};
    return [path, settings] {
        try {
            return seedControllers(operators::loadDaemonSettings(path));
        } catch (const Error& error) {
            log(LogLevel::Warn, "seeds_not_read", { { logkey::reason, error.problem() }, { logkey::remedy, error.remedy() } });
            return seedControllers(settings);
        }
    };
}

std::unique_ptr<IRoleModule> makeRole(const schema::DaemonSettings& settings, const fleet::ControllerSource& controllers, fleet::IFleetClient* client, MetricsRegistry& metrics)
{
    static const platform::PlatformPacket format;
    if (settings.has_controller()) {
        control::ControllerModuleOptions options { .seeds = controllers };
        if (settings.controller().has_pass_through())
            options.operatorListener = platform::operatorListener();
        return control::makeControllerModule(settings, metrics, options);
    }
    if (settings.balancer().has_pass_through())
        return passthrough::makePassThroughBalancer(settings, *client, format, platform::readyListener(), metrics);
    if (settings.agent().has_pass_through())
        return passthrough::makePassThroughAgent(settings, *client, format, platform::readyListener(), platform::beatListener(), metrics);
    if (settings.has_balancer())
        return dataplane::makeBalancerModule(settings, *client, metrics);
    return agent::makeAgentModule(settings, *client, metrics);
}

void serve(const std::string& path, const schema::DaemonSettings& settings)
{
    // Blocked before any thread starts, so that only sigwait receives them.
    const auto signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const SystemClock clock;
    MetricsRegistry metrics;
    exportLogCounts(metrics);
    admin::AdminPages pages(settings, metrics, clock);
    const auto controllers = controllerSource(path, settings);
    std::unique_ptr<fleet::IFleetClient> client;
    if (!settings.has_controller()) {
        client = fleet::makeFleetClient(settings, controllers);
        client->start();
    }
    const auto role = makeRole(settings, controllers, client.get(), metrics);
    std::unique_ptr<admin::AdminServer> adminServer;
    if (settings.has_admin())
        adminServer = std::make_unique<admin::AdminServer>(settings.admin().endpoint(), pages);
    role->start();
    pages.setStarted(role->adminSource());
    log(LogLevel::Info, "daemon_started", { { .key = logkey::version, .value = std::string(programVersion) }, { .key = "settings", .value = digest(settings) } });
    waitForStop(signals, path, settings);
    pages.setDraining();
    log(LogLevel::Info, "daemon_stopping", { { .key = logkey::version, .value = std::string(programVersion) }, { .key = "settings", .value = digest(settings) } });
    role->stop();
    if (client)
        client->stop();
    log(LogLevel::Info, "daemon_stopped");
    // Nothing is left to write. The libraries' own threads are not waited for: on the users' platform the process hangs in
    // their exit handlers until it is killed.
    std::quick_exit(static_cast<int>(ExitCode::Ok));
}

// Empty if the command line names no settings file.
std::string settingsPath(const cxxopts::ParseResult& arguments)
{
    if (arguments.count("settings"))
        return arguments["settings"].as<std::string>();
    if (!arguments.count("settings-variable"))
        return {};
    const auto* path = std::getenv(arguments["settings-variable"].as<std::string>().c_str());
    return path ? path : "";
}

int run(int argc, char** argv)
{
    cxxopts::Options options("clementinesilld", "Daemon of the clementinesill load balancer; its settings name the role.\n\n"
                                                "SIGTERM and SIGINT drain and end it; SIGHUP reads log.level again.\n"
                                                "Exit codes: 0 ended after a drain, or settings valid; 1 failed; 2 wrong command line;\n"
                                                "3 settings wrong; 5 no controller reached.\n");
    options.add_options()("check", "check the settings and exit")("h,help", "print this help")("settings", "settings file", cxxopts::value<std::string>());
    options.add_options()("settings-variable", "environment variable that holds the path of the settings file", cxxopts::value<std::string>());
    options.parse_positional("settings");
    options.positional_help("SETTINGS");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help")) {
        std::cout << options.help();
        return static_cast<int>(ExitCode::Ok);
    }
    const auto path = settingsPath(arguments);
    if (path.empty()) {
        std::cerr << options.help();
        return static_cast<int>(ExitCode::Usage);
    }
    const auto settings = operators::loadDaemonSettings(path, { .probeListenAddresses = true });
    if (arguments.count("check")) {
        std::cout << path << ": valid\n";
        return static_cast<int>(ExitCode::Ok);
    }
    startLog(settings);
    std::set_terminate(logAndAbort);
    serve(path, settings);
    return static_cast<int>(ExitCode::Ok);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const Error& error) {
        log(LogLevel::Error, "daemon_failed", { { logkey::reason, error.problem() }, { logkey::remedy, error.remedy() } });
        std::cerr << "clementinesilld: " << error.what() << '\n';
        return static_cast<int>(operators::exitCode(error.kind()));
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "clementinesilld: " << error.what() << "; see clementinesilld --help\n";
        return static_cast<int>(ExitCode::Usage);
    }
}

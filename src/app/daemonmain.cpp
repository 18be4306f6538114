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
#include "operators/settingschange.h"
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
#include <iostream>
#include <span>
#include <sstream>
#include <unistd.h>
#include <vector>

using namespace clementinesill;
using operators::ExitCode;

namespace {

// Maximum number of stack frames in the log line of an abort.
constexpr int maximumLoggedFrames = 24;

// Logs the return addresses on the failing thread's stack, which addr2line converts to source lines, then aborts.
[[noreturn]] void logBacktraceAndAbort()
{
    std::array<void*, maximumLoggedFrames> frames {};
    const auto count = backtrace(frames.data(), maximumLoggedFrames);
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

// The default format is JSON, except on a terminal.
bool usesJsonFormat(const schema::LogSettings& settings)
{
    if (!settings.format().empty())
        return settings.format() == "json";
    return !settings.file().empty() || !isatty(STDERR_FILENO);
}

void configureLogging(const schema::DaemonSettings& settings)
{
    const auto& options = settings.log();
    LogOptions logOptions { .level = parseLogLevel(options.level()), .json = usesJsonFormat(options), .file = options.file(), .standardOutput = options.standard_output(), .daemon = settings.name() };
    if (options.lines_per_second())
        logOptions.linesPerSecond = options.lines_per_second();
    configureLog(logOptions);
}

// Hash that identifies the settings in log lines.
std::string settingsDigest(const schema::DaemonSettings& settings)
{
    const auto bytes = settings.SerializeAsString();
    std::ostringstream text;
    text << std::hex << hash64(std::as_bytes(std::span(bytes)), 0);
    return text.str();
}

void registerLogMetrics(MetricsRegistry& metrics)
{
    metrics.describe("log_lines", "lines of the log since the start, by what became of them");
    metrics.addGauge("log_lines", { { "outcome", "written" } }, [] { return static_cast<double>(logCounts().written); });
    metrics.addGauge("log_lines", { { "outcome", "suppressed" } }, [] { return static_cast<double>(logCounts().suppressed); });
    metrics.addGauge("log_lines", { { "outcome", "lost" } }, [] { return static_cast<double>(logCounts().lost); });
}

// Applies the changed settings that need no restart, and logs each other one, which keeps its value. A file with an error
// changes nothing.
void reloadSettings(const std::string& path, schema::DaemonSettings& settings)
{
    try {
        const auto file = operators::loadDaemonSettings(path);
        const auto changes = operators::changedSettings(settings, file);
        operators::copyReloadableSettings(file, settings);
        setLogLevel(parseLogLevel(settings.log().level()));
        for (const auto& change : changes) {
            if (change.reloadable)
                log(LogLevel::Info, "setting_applied", { { .key = "setting", .value = change.setting }, { .key = "old", .value = change.oldValue }, { .key = "new", .value = change.newValue } });
            else
                log(LogLevel::Warn, "settings_need_restart", { { .key = "setting", .value = change.setting }, { .key = "old", .value = change.oldValue }, { .key = "new", .value = change.newValue }, { .key = logkey::remedy, .value = "restart the daemon" } });
        }
        log(LogLevel::Info, "settings_reloaded", { { .key = logkey::version, .value = std::string(programVersion) }, { .key = "settings", .value = settingsDigest(settings) } });
    } catch (const Error& error) {
        log(LogLevel::Error, "settings_refused", { { logkey::reason, error.problem() }, { logkey::remedy, error.remedy() } });
    }
}

// Reloads the settings on SIGHUP; returns on SIGTERM or SIGINT.
void waitForShutdownSignal(const sigset_t& signals, const std::string& path, schema::DaemonSettings settings)
{
    int signal = 0;
    while (sigwait(&signals, &signal) == 0 && signal == SIGHUP)
        reloadSettings(path, settings);
}

std::vector<std::string> seedEndpoints(const schema::DaemonSettings& settings)
{
    std::vector<std::string> endpoints;
    for (const auto& seed : settings.discovery().seeds())
        endpoints.push_back(format(Endpoint { .address = parseEndpoint(seed).address, .port = static_cast<std::uint16_t>(settings.discovery().port()) }));
    return endpoints;
}

// Source that reads the settings file on every call, because the seeds in it may change without a SIGHUP. Empty if the
// settings list the controllers instead of seeds.
fleet::ControllerSource controllerSource(const std::string& path, const schema::DaemonSettings& settings)
{
    if (!settings.has_discovery())
        return {};
    return [path, settings] {
        try {
            return seedEndpoints(operators::loadDaemonSettings(path));
        } catch (const Error& error) {
            log(LogLevel::Warn, "seeds_not_read", { { logkey::reason, error.problem() }, { logkey::remedy, error.remedy() } });
            return seedEndpoints(settings);
        }
    };
}

std::unique_ptr<IRoleModule> makeRoleModule(const schema::DaemonSettings& settings, const fleet::ControllerSource& controllers, fleet::IFleetClient* client, MetricsRegistry& metrics)
{
    static const platform::PlatformPacket format;
    if (settings.has_controller()) {
        control::ControllerModuleOptions options { .seeds = controllers };
        if (settings.controller().has_pass_through())
            options.operatorListener = platform::operatorListenerFactory();
        return control::makeControllerModule(settings, metrics, options);
    }
    if (settings.balancer().has_pass_through())
        return passthrough::makePassThroughBalancer(settings, *client, format, platform::readyListenerFactory(), metrics);
    if (settings.agent().has_pass_through())
        return passthrough::makePassThroughAgent(settings, *client, format, platform::readyListenerFactory(), platform::heartbeatListenerFactory(), metrics);
    if (settings.has_balancer())
        return dataplane::makeBalancerModule(settings, *client, metrics);
    return agent::makeAgentModule(settings, *client, metrics);
}

void runDaemon(const std::string& path, const schema::DaemonSettings& settings)
{
    // Blocked before any thread starts, so that only sigwait receives them.
    const auto signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const SystemClock clock;
    MetricsRegistry metrics;
    registerLogMetrics(metrics);
    admin::AdminPages pages(settings, metrics, clock);
    const auto controllers = controllerSource(path, settings);
    std::unique_ptr<fleet::IFleetClient> client;
    if (!settings.has_controller()) {
        client = fleet::makeFleetClient(settings, controllers);
        client->start();
    }
    const auto role = makeRoleModule(settings, controllers, client.get(), metrics);
    std::unique_ptr<admin::AdminServer> adminServer;
    if (settings.has_admin())
        adminServer = std::make_unique<admin::AdminServer>(settings.admin().endpoint(), pages);
    role->start();
    pages.setStarted(role->adminSource());
    log(LogLevel::Info, "daemon_started", { { .key = logkey::version, .value = std::string(programVersion) }, { .key = "settings", .value = settingsDigest(settings) } });
    waitForShutdownSignal(signals, path, settings);
    pages.setDraining();
    log(LogLevel::Info, "daemon_stopping", { { .key = logkey::version, .value = std::string(programVersion) }, { .key = "settings", .value = settingsDigest(settings) } });
    role->stop();
    if (client)
        client->stop();
    log(LogLevel::Info, "daemon_stopped");
    // All output has been written. Skips the libraries' exit handlers, which wait for their threads: on the hosting platform
    // the process hangs in them until it is killed.
    std::quick_exit(static_cast<int>(ExitCode::Ok));
}

// Path of the settings file; empty if the command line specifies none.
std::string settingsPath(const cxxopts::ParseResult& arguments)
{
    if (arguments.count("settings"))
        return arguments["settings"].as<std::string>();
    if (!arguments.count("settings-variable"))
        return {};
    const auto* path = std::getenv(arguments["settings-variable"].as<std::string>().c_str());
    return path ? path : "";
}

int runCommandLine(int argc, char** argv)
{
    cxxopts::Options options("clementinesilld", "Daemon of the clementinesill load balancer; the settings select its role.\n\n"
                                                "SIGTERM and SIGINT drain and stop it; SIGHUP reloads log.level and\n"
                                                "discovery.seeds.\n"
                                                "Exit codes: 0 stopped after draining, or settings valid; 1 failed; 2 invalid command line;\n"
                                                "3 invalid settings; 5 no controller reachable.\n");
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
    configureLogging(settings);
    std::set_terminate(logBacktraceAndAbort);
    runDaemon(path, settings);
    return static_cast<int>(ExitCode::Ok);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return runCommandLine(argc, argv);
    } catch (const Error& error) {
        log(LogLevel::Error, "daemon_failed", { { logkey::reason, error.problem() }, { logkey::remedy, error.remedy() } });
        std::cerr << "clementinesilld: " << error.what() << '\n';
        return static_cast<int>(operators::exitCode(error.kind()));
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "clementinesilld: " << error.what() << "; see clementinesilld --help\n";
        return static_cast<int>(ExitCode::Usage);
    }
}

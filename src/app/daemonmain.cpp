#include "admin/adminpages.h"
#include "admin/adminserver.h"
#include "agent/agentmodule.h"
#include "control/controllermodule.h"
#include "dataplane/balancermodule.h"
#include "fleet/fleetclient.h"
#include "foundation/error.h"
#include "foundation/log.h"
#include "foundation/metrics.h"
#include "foundation/systemclock.h"
#include "operators/settings.h"
#include "operators/types/exitcode.h"

#include <csignal>
#include <cxxopts.hpp>
#include <google/protobuf/util/message_differencer.h>
#include <iostream>
#include <unistd.h>

using namespace clementinesill;
using operators::ExitCode;

namespace {

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
    configureLog({ .level = parseLogLevel(options.level()), .json = wantsJson(options), .file = options.file(), .daemon = settings.name() });
}

// The log level changes while the daemon runs; any other change waits for a restart, and the log says so.
void reload(const std::string& path, schema::DaemonSettings settings)
{
    try {
        auto changed = operators::loadDaemonSettings(path);
        setLogLevel(parseLogLevel(changed.log().level()));
        changed.mutable_log()->clear_level();
        settings.mutable_log()->clear_level();
        log(LogLevel::Info, "settings_reloaded");
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

std::unique_ptr<IRoleModule> makeRole(const schema::DaemonSettings& settings, fleet::IFleetClient* client, MetricsRegistry& metrics)
{
    if (settings.has_controller())
        return control::makeControllerModule(settings, metrics);
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
    admin::AdminPages pages(settings, metrics, clock);
    std::unique_ptr<fleet::IFleetClient> client;
    if (!settings.has_controller()) {
        client = fleet::makeFleetClient(settings);
        client->start();
    }
    const auto role = makeRole(settings, client.get(), metrics);
    std::unique_ptr<admin::AdminServer> adminServer;
    if (settings.has_admin())
        adminServer = std::make_unique<admin::AdminServer>(settings.admin().endpoint(), pages);
    role->start();
    pages.setStarted(role->adminSource());
    log(LogLevel::Info, "daemon_started");
    waitForStop(signals, path, settings);
    pages.setDraining();
    log(LogLevel::Info, "daemon_stopping");
    role->stop();
    if (client)
        client->stop();
    log(LogLevel::Info, "daemon_stopped");
}

int run(int argc, char** argv)
{
    cxxopts::Options options("clementinesilld", "Daemon of the clementinesill load balancer; its settings name the role.\n\n"
                                                "SIGTERM and SIGINT drain and end it; SIGHUP reads log.level again.\n"
                                                "Exit codes: 0 ended after a drain, or settings valid; 1 failed; 2 wrong command line;\n"
                                                "3 settings wrong; 5 no controller reached.\n");
    options.add_options()("check", "check the settings and exit")("h,help", "print this help")("settings", "settings file", cxxopts::value<std::string>());
    options.parse_positional("settings");
    options.positional_help("SETTINGS");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help")) {
        std::cout << options.help();
        return static_cast<int>(ExitCode::Ok);
    }
    if (!arguments.count("settings")) {
        std::cerr << options.help();
        return static_cast<int>(ExitCode::Usage);
    }
    const auto path = arguments["settings"].as<std::string>();
    const auto settings = operators::loadDaemonSettings(path, { .tryAddresses = true });
    if (arguments.count("check")) {
        std::cout << path << ": valid\n";
        return static_cast<int>(ExitCode::Ok);
    }
    startLog(settings);
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

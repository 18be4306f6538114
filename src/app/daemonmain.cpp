#include "agent/agentmodule.h"
#include "control/controllermodule.h"
#include "dataplane/balancermodule.h"
#include "fleet/fleetclient.h"
#include "foundation/error.h"
#include "foundation/log.h"
#include "foundation/metrics.h"
#include "operators/settings.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

using namespace clementinesill;

namespace {

// Exit codes of clementinesilld, documented in docs/operating.md.
constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

sigset_t handledSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    return set;
}

int serve(const schema::DaemonSettings& settings)
{
    // Blocked before any thread starts, so that only sigwait receives them.
    const auto signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    MetricsRegistry metrics;
    std::unique_ptr<fleet::IFleetClient> client;
    std::unique_ptr<IRoleModule> role;
    if (settings.has_controller()) {
        role = control::makeControllerModule(settings, metrics);
    } else {
        client = fleet::makeFleetClient(settings);
        client->start();
        role = settings.has_balancer() ? dataplane::makeBalancerModule(settings, *client, metrics) : agent::makeAgentModule(settings, *client, metrics);
    }
    role->start();
    log(LogLevel::Info, "daemon_started");
    int signal = SIGHUP;
    while (signal == SIGHUP)
        sigwait(&signals, &signal);
    log(LogLevel::Info, "daemon_stopping");
    role->stop();
    if (client)
        client->stop();
    return exitOk;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("clementinesilld", "Daemon of the clementinesill load balancer; its settings name the role.");
    options.add_options()("check", "check the settings and exit")("h,help", "print this help")("settings", "settings file", cxxopts::value<std::string>());
    options.parse_positional("settings");
    options.positional_help("SETTINGS");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help();
            return exitOk;
        }
        if (!arguments.count("settings")) {
            std::cerr << options.help();
            return exitUsage;
        }
        const auto settings = operators::loadDaemonSettings(arguments["settings"].as<std::string>(), { .tryAddresses = true });
        if (arguments.count("check"))
            return exitOk;
        configureLog({ .json = settings.log().format() != "text", .file = settings.log().file(), .daemon = settings.name() });
        return serve(settings);
    } catch (const Error& error) {
        std::cerr << "clementinesilld: " << error.what() << '\n';
        return exitFailed;
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "clementinesilld: " << error.what() << '\n';
        return exitUsage;
    }
}

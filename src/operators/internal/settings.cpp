#include "operators/settings.h"

#include "foundation/types/endpoint.h"
#include "operators/configerror.h"
#include "operators/internal/listenprobe.h"
#include "operators/internal/settingschecker.h"

#include <array>
#include <fstream>
#include <iterator>

namespace clementinesill::operators {

namespace {

constexpr std::uint32_t maximumWorkerThreads = 64;
constexpr std::uint32_t maximumFlowCacheEntries = 1 << 24;
constexpr std::uint32_t maximumSlots = 100'000;
constexpr std::uint32_t maximumConnections = 1'000'000;
constexpr std::uint32_t maximumWeight = 1'000;
constexpr std::uint32_t minimumHealthIntervalMs = 10;
constexpr std::uint32_t maximumHealthIntervalMs = 60'000;
constexpr std::uint32_t minimumServerLeaseMs = 100;
constexpr std::uint32_t maximumServerLeaseMs = 600'000;
constexpr std::uint32_t maximumSnapshotEntries = 10'000'000;
constexpr int maximumControllers = 7;
constexpr std::uint32_t maximumHeartbeatMs = 60'000;
constexpr std::uint32_t maximumFlowLifetimeSeconds = 86'400;
constexpr std::uint32_t maximumPort = 65'535;
// On a slower link, the part of the budget for retransmitted SYNs would hold less than one of 108 bytes.
constexpr double minimumLinkMbps = 0.2;
constexpr double maximumLinkMbps = 100'000;
// An agent searches the waiting openings in sequence, and none waits longer than 150 ms.
constexpr std::uint32_t maximumWaitingOpenings = 1'000;
// More than the headers of any common encapsulation.
constexpr std::uint32_t maximumLinkOverheadBytes = 200;
constexpr std::uint32_t loopbackNetwork = 127;

std::string readText(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    if (!file)
        throw ConfigError(ErrorKind::InvalidSettings, ConfigFault::Unreadable, { .file = path }, "cannot be read", "name an existing file and check its permissions");
    return text;
}

std::string itemKey(const std::string& list, int index)
{
    return list + "[" + std::to_string(index) + "]";
}

void checkOverload(const SettingsChecker& check, const std::string& section, const schema::OverloadSettings& overload)
{
    check.rangeOrOff(section + ".linkMbps", overload.link_mbps(), minimumLinkMbps, maximumLinkMbps);
    check.range(section + ".linkOverheadBytes", overload.link_overhead_bytes(), 0, maximumLinkOverheadBytes);
    check.range(section + ".waitingOpenings", overload.waiting_openings(), 0, maximumWaitingOpenings);
}

// Checks the passThrough keys in a role's section, which apply to packets in the platform's own format.
void checkPassThrough(const SettingsChecker& check, const schema::DaemonSettings& settings, const std::string& section, const schema::PassThroughSettings& passThrough, std::initializer_list<const char*> requiredKeys)
{
    const auto key = [&](const char* name) { return section + ".passThrough." + name; };
    check.require({ "discovery", "discovery.seeds", "discovery.port" });
    for (const auto* name : requiredKeys)
        check.require(key(name));
    check.endpoint(key("packetEndpoint"), passThrough.packet_endpoint());
    check.endpoint(key("peerEndpoint"), passThrough.peer_endpoint());
    check.endpoint(key("serverPacketsEndpoint"), passThrough.server_packets_endpoint());
    check.endpoint(key("readyEndpoint"), passThrough.ready_endpoint());
    check.endpoint(key("controlEndpoint"), passThrough.control_endpoint());
    check.range(key("heartbeatMs"), passThrough.heartbeat_ms(), 1, maximumHeartbeatMs);
    check.range(key("flowLifetimeSeconds"), passThrough.flow_lifetime_seconds(), 1, maximumFlowLifetimeSeconds);
    checkOverload(check, key("overload"), passThrough.overload());
    for (int index = 0; index < settings.discovery().seeds_size(); ++index)
        check.endpoint(itemKey("discovery.seeds", index), settings.discovery().seeds(index));
    check.range("discovery.port", settings.discovery().port(), 1, maximumPort);
    if (settings.discovery().seeds().empty())
        check.reader().fail(ConfigFault::MissingKey, "discovery.seeds", "lists no controllers", "list the address of at least one controller");
}

void checkBalancer(const SettingsChecker& check, const schema::DaemonSettings& settings)
{
    const auto& balancer = settings.balancer();
    if (balancer.has_pass_through()) {
        check.require("zone");
        checkPassThrough(check, settings, "balancer", balancer.pass_through(), { "packetEndpoint", "peerEndpoint", "readyEndpoint" });
        return;
    }
    check.require({ "zone", "controllers", "balancer.dataEndpoint" });
    check.endpoint("balancer.dataEndpoint", balancer.data_endpoint());
    check.range("balancer.workerThreads", balancer.worker_threads(), 1, maximumWorkerThreads);
    check.range("balancer.flowCacheEntries", balancer.flow_cache_entries(), 1, maximumFlowCacheEntries);
    check.choice("balancer.strategy", balancer.strategy(), { "rendezvous", "rank-only", "round-robin" });
}

void checkPath(const SettingsChecker& check, const std::string& key, const std::string& path)
{
    if (check.reader().hasKey(key) && !path.starts_with('/'))
        check.reader().fail(ConfigFault::UnknownValue, key, "'" + path + "' is not an HTTP path", "write a path that starts with /");
}

void checkAgent(const SettingsChecker& check, const schema::DaemonSettings& settings)
{
    const auto& agent = settings.agent();
    if (agent.has_pass_through()) {
        check.require({ "zone", "agent.service", "agent.serverEndpoint" });
        check.endpoint("agent.serverEndpoint", agent.server_endpoint());
        checkPassThrough(check, settings, "agent", agent.pass_through(), { "packetEndpoint", "serverPacketsEndpoint", "readyEndpoint", "controlEndpoint" });
        return;
    }
    check.require({ "zone", "controllers", "agent.dataEndpoint", "agent.service", "agent.serverEndpoint", "agent.slots", "agent.connectionLimit" });
    check.endpoint("agent.dataEndpoint", agent.data_endpoint());
    check.endpoint("agent.serverEndpoint", agent.server_endpoint());
    check.recordName("agent.service", agent.service());
    check.range("agent.slots", agent.slots(), 1, maximumSlots);
    check.range("agent.connectionLimit", agent.connection_limit(), 1, maximumConnections);
    check.range("agent.weight", agent.weight(), 1, maximumWeight);
    check.range("agent.healthIntervalMs", agent.health_interval_ms(), minimumHealthIntervalMs, maximumHealthIntervalMs);
    checkPath(check, "agent.healthPath", agent.health_path());
    checkPath(check, "agent.loadPath", agent.load_path());
}

// The list of peers must include this controller itself once, with its own endpoint.
void checkPeers(const SettingsChecker& check, const schema::DaemonSettings& settings)
{
    const auto& peers = settings.controller().peers();
    const std::string list = "controller.peers";
    if (peers.empty() || peers.size() > maximumControllers)
        check.reader().fail(ConfigFault::OutOfRange, list, "lists " + std::to_string(peers.size()) + " controllers", "list 1 to " + std::to_string(maximumControllers));
    bool foundSelf = false;
    for (int index = 0; index < peers.size(); ++index) {
        const auto key = itemKey(list, index);
        check.require(key + ".name");
        check.require(key + ".endpoint");
        check.recordName(key + ".name", peers[index].name());
        check.endpoint(key + ".endpoint", peers[index].endpoint());
        for (int earlier = 0; earlier < index; ++earlier) {
            if (peers[earlier].name() == peers[index].name() || peers[earlier].endpoint() == peers[index].endpoint())
                check.reader().fail(ConfigFault::DuplicateRecord, key + ".name", "has the same name or endpoint as " + itemKey(list, earlier), "give each controller its own name and endpoint");
        }
        foundSelf = foundSelf || (peers[index].name() == settings.name() && peers[index].endpoint() == settings.controller().endpoint());
    }
    if (!foundSelf)
        check.reader().fail(ConfigFault::MissingKey, list, "does not include this controller", "add '" + settings.name() + "' with endpoint " + settings.controller().endpoint());
}

void checkController(const SettingsChecker& check, const schema::DaemonSettings& settings)
{
    const auto& controller = settings.controller();
    check.require({ "controller.endpoint", "controller.dataFolder" });
    if (controller.has_pass_through())
        checkPassThrough(check, settings, "controller", controller.pass_through(), { "controlEndpoint" });
    else
        check.require("controller.peers");
    check.endpoint("controller.endpoint", controller.endpoint());
    check.writableFolder("controller.dataFolder", controller.data_folder());
    check.range("controller.serverLeaseMs", controller.server_lease_ms(), minimumServerLeaseMs, maximumServerLeaseMs);
    check.range("controller.snapshotEntries", controller.snapshot_entries(), 1, maximumSnapshotEntries);
    if (!controller.has_pass_through())
        checkPeers(check, settings);
}

struct RoleCheck {
    schema::DaemonSettings::RoleCase role;
    void (*check)(const SettingsChecker&, const schema::DaemonSettings&);
};

constexpr std::array<RoleCheck, 3> roleChecks { {
    { schema::DaemonSettings::kBalancer, &checkBalancer },
    { schema::DaemonSettings::kAgent, &checkAgent },
    { schema::DaemonSettings::kController, &checkController },
} };

void checkControllers(const SettingsChecker& check, const google::protobuf::RepeatedPtrField<std::string>& controllers)
{
    for (int index = 0; index < controllers.size(); ++index)
        check.endpoint(itemKey("controllers", index), controllers[index]);
    if (check.reader().hasKey("controllers") && controllers.empty())
        check.reader().fail(ConfigFault::MissingKey, "controllers", "lists no controllers", "list the gRPC endpoint of each controller");
}

// Without TLS keys, gRPC is plaintext, which must not leave the VM.
void checkPlaintextEndpoint(const SettingsChecker& check, const std::string& key, const std::string& endpoint)
{
    if (!check.reader().hasKey(key) || parseEndpoint(endpoint).address >> 24 == loopbackNetwork)
        return;
    check.reader().fail(ConfigFault::PlaintextOffLoopback, key, "gRPC without TLS to " + endpoint + " would leave the VM", "add tls with certificateFile, keyFile and authorityFile, or set plainNetwork if the network between the daemons is trusted");
}

void checkPlaintextEndpoints(const SettingsChecker& check, const schema::DaemonSettings& settings)
{
    if (check.reader().hasKey("tls") || settings.plain_network())
        return;
    for (int index = 0; index < settings.controllers_size(); ++index)
        checkPlaintextEndpoint(check, itemKey("controllers", index), settings.controllers(index));
    checkPlaintextEndpoint(check, "controller.endpoint", settings.controller().endpoint());
    for (int index = 0; index < settings.controller().peers_size(); ++index)
        checkPlaintextEndpoint(check, itemKey("controller.peers", index) + ".endpoint", settings.controller().peers(index).endpoint());
}

void checkCommon(const SettingsChecker& check, const schema::DaemonSettings& settings)
{
    check.require("name");
    check.recordName("name", settings.name());
    if (check.reader().hasKey("zone"))
        check.recordName("zone", settings.zone());
    checkControllers(check, settings.controllers());
    check.choice("log.level", settings.log().level(), { "debug", "info", "warn", "error" });
    check.choice("log.format", settings.log().format(), { "json", "text" });
    check.endpoint("admin.endpoint", settings.admin().endpoint());
    check.tls(settings.tls());
}

void checkDaemon(const SettingsChecker& check, const schema::DaemonSettings& settings)
{
    checkCommon(check, settings);
    if (settings.role_case() == schema::DaemonSettings::ROLE_NOT_SET)
        check.reader().fail(ConfigFault::MissingRole, "", "no role is set", "add one of balancer, agent, controller");
    for (const auto& candidate : roleChecks) {
        if (candidate.role == settings.role_case())
            candidate.check(check, settings);
    }
    checkPlaintextEndpoints(check, settings);
}

void probeListenAddresses(const SchemaReader& reader, const schema::DaemonSettings& settings)
{
    ListenProbe probe(reader);
    probe.tcp("admin.endpoint", settings.admin().endpoint());
    probe.tcp("controller.endpoint", settings.controller().endpoint());
    probe.udp("balancer.dataEndpoint", settings.balancer().data_endpoint());
    probe.udp("agent.dataEndpoint", settings.agent().data_endpoint());
}

} // namespace

schema::DaemonSettings loadDaemonSettings(const std::string& path, const SettingsOptions& options)
{
    SchemaReader reader(path, ErrorKind::InvalidSettings);
    schema::DaemonSettings settings;
    reader.read(readText(path), settings);
    checkDaemon(SettingsChecker(reader), settings);
    if (options.probeListenAddresses)
        probeListenAddresses(reader, settings);
    return settings;
}

schema::ClientSettings loadClientSettings(const std::string& path)
{
    SchemaReader reader(path, ErrorKind::InvalidSettings);
    schema::ClientSettings settings;
    reader.read(readText(path), settings);
    const SettingsChecker check(reader);
    checkControllers(check, settings.controllers());
    for (int index = 0; index < settings.daemons_size(); ++index)
        check.endpoint(itemKey("daemons", index), settings.daemons(index));
    check.tls(settings.tls());
    return settings;
}

} // namespace clementinesill::operators

// Processor time that a pass-through balancer spends per SYN: reads, decodes, decides, and forwards or resets it.
//
// The balancer runs as in the daemon, on its own thread and sockets, with bursts of SYNs from the main thread. Its time is the
// processor time of the process less that of the main thread.

#include "bench/benchreport.h"
#include "bench/benchtable.h"
#include "fleet/fleettable.h"
#include "fleet/ifleetclient.h"
#include "fleet/tableholder.h"
#include "fleet/types/registration.h"
#include "foundation/irolemodule.h"
#include "foundation/log.h"
#include "foundation/metrics.h"
#include "foundation/types/logoptions.h"
#include "net/ilistener.h"
#include "net/udpsocket.h"
#include "passthrough/passthroughmodules.h"
#include "platform/platformpacket.h"
#include "settings.pb.h"

#include <array>
#include <boost/endian/conversion.hpp>
#include <cxxopts.hpp>
#include <iostream>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

using namespace clementinesill;

namespace {

constexpr std::size_t headerBytes = 32;
constexpr std::size_t maximumDatagramBytes = 2048;
constexpr std::chrono::seconds lostDatagramTimeout { 1 };
constexpr std::uint32_t callerAddress = 0x7f000002;

struct EntryBenchOptions {
    std::uint32_t servers = 0;
    std::size_t burst = 0;
    std::size_t packets = 0;
    std::uint16_t port = 0;
    // 0 if the settings have no overload section.
    double linkMbps = 0;
    // No server accepts new flows, so that each SYN is reset.
    bool reset = false;
};

Endpoint loopback(std::uint16_t port) { return { .address = 0x7f000001, .port = port }; }

double processorSeconds(clockid_t clock)
{
    timespec time {};
    clock_gettime(clock, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

// Serves a fixed table.
class FixedFleetClient final : public fleet::IFleetClient {
public:
    explicit FixedFleetClient(const schema::Table& table) { m_tables.replaceIfNewer(std::make_shared<const fleet::FleetTable>(table)); }

    void start() override { }
    void stop() override { }
    fleet::ITableSource& tables() override { return m_tables; }
    fleet::Registration registerServer(const schema::ServerAnnouncement&, Duration) override { return {}; }
    bool renew(const schema::RenewRequest&) override { return true; }
    void leave(const fleet::Registration&, bool) override { }
    void leaveStaleController(std::uint64_t) override { }
    void interruptCalls() override { }

private:
    fleet::TableHolder m_tables;
};

class NoListener final : public net::IListener {
public:
    void stop() override { }
};

schema::Table makeTable(const EntryBenchOptions& options)
{
    auto table = bench::makeTable({ .servers = options.servers, .agentEndpoint = format(loopback(options.port + 2)) });
    table.set_document_version(1);
    auto& route = *table.add_routes();
    route.set_endpoint(format(bench::serviceEndpoint(0)));
    route.set_timeout_ms(3000);
    auto& target = *route.add_targets();
    target.set_service_id(1);
    target.set_weight(1);
    for (auto& server : *table.mutable_servers())
        server.set_state(options.reset ? schema::SERVER_STATE_DRAINING : schema::SERVER_STATE_ACTIVE);
    return table;
}

schema::DaemonSettings makeSettings(const EntryBenchOptions& options)
{
    schema::DaemonSettings settings;
    settings.set_zone("zone-0");
    auto& passThrough = *settings.mutable_balancer()->mutable_pass_through();
    passThrough.set_packet_endpoint(format(loopback(options.port)));
    passThrough.set_peer_endpoint(format(loopback(options.port + 1)));
    if (options.linkMbps > 0)
        passThrough.mutable_overload()->set_link_mbps(options.linkMbps);
    return settings;
}

// A SYN in the platform's format, from a port of its own.
std::array<std::byte, headerBytes> makeSyn(std::uint16_t port)
{
    constexpr std::size_t flagsOffset = 12;
    constexpr std::size_t sourceOffset = 20;
    constexpr std::byte synFlag { 4 };
    std::array<std::byte, headerBytes> bytes {};
    bytes[flagsOffset] = synFlag;
    auto* fields = reinterpret_cast<unsigned char*>(bytes.data()) + sourceOffset;
    boost::endian::store_big_u32(fields, callerAddress);
    boost::endian::store_big_u16(fields + 4, port);
    boost::endian::store_big_u16(fields + 6, bench::serviceEndpoint(0).port);
    boost::endian::store_big_u32(fields + 8, bench::serviceEndpoint(0).address);
    return bytes;
}

// Microseconds per SYN.
double measure(const EntryBenchOptions& options)
{
    MetricsRegistry metrics;
    FixedFleetClient fleet(makeTable(options));
    const platform::PlatformPacket packetFormat;
    const auto balancer = passthrough::makePassThroughBalancer(
        makeSettings(options), fleet, packetFormat, [](const auto&, auto) { return std::make_unique<NoListener>(); }, metrics);
    const int sender = net::openUdpSocket({ .endpoint = loopback(options.port + 3) });
    const int agent = net::openUdpSocket({ .endpoint = loopback(options.port + 2), .receiveTimeout = lostDatagramTimeout });
    // Resets go to the balancer's port at the caller's address.
    const int caller = net::openUdpSocket({ .endpoint = { .address = callerAddress, .port = options.port }, .receiveTimeout = lostDatagramTimeout });
    balancer->start();
    std::array<std::byte, maximumDatagramBytes> buffer {};
    std::size_t handled = 0;
    std::uint16_t port = 0;
    const auto balancerSeconds = [] { return processorSeconds(CLOCK_PROCESS_CPUTIME_ID) - processorSeconds(CLOCK_THREAD_CPUTIME_ID); };
    const auto start = balancerSeconds();
    for (std::size_t sent = 0; sent < options.packets; sent += options.burst) {
        for (std::size_t index = 0; index < options.burst; ++index)
            net::sendDatagram(sender, {}, makeSyn(++port), loopback(options.port));
        for (std::size_t index = 0; index < options.burst; ++index)
            handled += recv(options.reset ? caller : agent, buffer.data(), buffer.size(), 0) > 0 ? 1 : 0;
    }
    const auto seconds = balancerSeconds() - start;
    balancer->stop();
    for (const int socket : { sender, agent, caller })
        close(socket);
    if (handled < options.packets)
        std::cerr << options.packets - handled << " of " << options.packets << " SYNs were lost\n";
    return seconds * 1e6 / static_cast<double>(handled);
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options usage("bench_entry", "Processor time of a pass-through balancer per SYN.");
    usage.add_options()("packets", "SYNs per repetition", cxxopts::value<std::size_t>()->default_value("20480"));
    usage.add_options()("repetitions", "repetitions", cxxopts::value<std::size_t>()->default_value("5"));
    usage.add_options()("link-mbps", "rate of the entry link; 0 for settings without overload section", cxxopts::value<double>()->default_value("0"));
    usage.add_options()("port", "first of four UDP ports", cxxopts::value<std::uint16_t>()->default_value("24810"));
    usage.add_options()("json", "file to write; standard output if not given", cxxopts::value<std::string>()->default_value(""));
    const auto arguments = usage.parse(argc, argv);
    // The log line of each decision is part of its cost.
    configureLog({ .file = "/dev/null" });
    EntryBenchOptions options {
        .packets = arguments["packets"].as<std::size_t>(),
        .port = arguments["port"].as<std::uint16_t>(),
        .linkMbps = arguments["link-mbps"].as<double>(),
    };
    bench::BenchReport report;
    report.parameter("packets", options.packets);
    report.parameter("link_mbps", options.linkMbps);
    for (const std::uint32_t servers : { 46, 163 }) {
        for (const std::size_t burst : { 1, 16, 64 }) {
            for (const bool reset : { false, true }) {
                options.servers = servers;
                options.burst = burst;
                options.reset = reset;
                std::vector<double> microseconds;
                for (std::size_t repetition = 0; repetition < arguments["repetitions"].as<std::size_t>(); ++repetition)
                    microseconds.push_back(measure(options));
                report.figure(std::string(reset ? "reset" : "forward") + "_servers_" + std::to_string(servers) + "_burst_" + std::to_string(burst), "us/SYN", microseconds);
            }
        }
    }
    report.write(arguments["json"].as<std::string>());
}

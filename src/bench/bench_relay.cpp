// Packets per second through one balancer worker, compared with a bare recvmmsg/sendmmsg relay of the same packets.
//
// A single thread sends a burst to the relay's socket, measures the time to relay it, and drains the target's socket. The
// cost of sending and receiving is therefore not measured. The worker and the bare relay alternate with every burst.

#include "bench/benchreport.h"
#include "bench/benchtable.h"
#include "dataplane/genevecodec.h"
#include "dataplane/internal/balancerworker.h"
#include "dataplane/internal/flowcache.h"
#include "dataplane/internal/forwarder.h"
#include "dataplane/internal/ipv4header.h"
#include "dataplane/internal/tcpheader.h"
#include "dataplane/types/genevemessage.h"
#include "fleet/fleettable.h"
#include "fleet/tableholder.h"
#include "foundation/systemclock.h"
#include "net/udpsocket.h"

#include <array>
#include <cxxopts.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace clementinesill;
using namespace clementinesill::dataplane;

namespace {

constexpr std::size_t burstPackets = 64;
constexpr std::size_t bufferBytes = 9216;

struct RelayOptions {
    std::size_t packets = 0;
    std::size_t repetitions = 0;
    std::size_t payloadBytes = 0;
    std::uint32_t servers = 0;
    std::uint32_t flows = 0;
    std::uint16_t port = 0;
};

Endpoint loopback(std::uint16_t port) { return { .address = 0x7f000001, .port = port }; }

sockaddr_in socketAddress(const Endpoint& endpoint)
{
    return { .sin_family = AF_INET, .sin_port = htons(endpoint.port), .sin_addr = { htonl(endpoint.address) }, .sin_zero = {} };
}

// A UDP socket with buffers for bursts of datagrams.
class BurstSocket {
public:
    explicit BurstSocket(const Endpoint& endpoint)
        : m_socket(net::openUdpSocket({ .endpoint = endpoint, .nonBlocking = true }))
        , m_buffers(burstPackets * bufferBytes)
    {
        for (std::size_t index = 0; index < burstPackets; ++index) {
            m_vectors[index] = { .iov_base = m_buffers.data() + index * bufferBytes, .iov_len = bufferBytes };
            m_messages[index].msg_hdr.msg_iov = &m_vectors[index];
            m_messages[index].msg_hdr.msg_iovlen = 1;
        }
    }
    ~BurstSocket() { close(m_socket); }
    BurstSocket(const BurstSocket&) = delete;
    BurstSocket& operator=(const BurstSocket&) = delete;

    // Reads the datagrams that have arrived and returns their number.
    std::size_t receive()
    {
        for (auto& vector : m_vectors)
            vector.iov_len = bufferBytes;
        for (auto& message : m_messages)
            message.msg_hdr.msg_name = nullptr;
        const int count = recvmmsg(m_socket, m_messages.data(), burstPackets, MSG_DONTWAIT, nullptr);
        return count > 0 ? static_cast<std::size_t>(count) : 0;
    }

    // Forwards the first `count` datagrams of the last read.
    std::size_t relay(std::size_t count, const Endpoint& target)
    {
        for (std::size_t index = 0; index < count; ++index)
            m_vectors[index].iov_len = m_messages[index].msg_len;
        return send(count, target);
    }

    // Sends copies of the datagrams.
    std::size_t send(std::span<const std::vector<std::byte>> datagrams, const Endpoint& target)
    {
        for (std::size_t index = 0; index < datagrams.size(); ++index) {
            std::copy(datagrams[index].begin(), datagrams[index].end(), static_cast<std::byte*>(m_vectors[index].iov_base));
            m_vectors[index].iov_len = datagrams[index].size();
        }
        return send(datagrams.size(), target);
    }

private:
    std::size_t send(std::size_t count, const Endpoint& target)
    {
        m_target = socketAddress(target);
        for (std::size_t index = 0; index < count; ++index) {
            m_messages[index].msg_hdr.msg_name = &m_target;
            m_messages[index].msg_hdr.msg_namelen = sizeof(m_target);
        }
        const int sent = sendmmsg(m_socket, m_messages.data(), static_cast<unsigned>(count), 0);
        return sent > 0 ? static_cast<std::size_t>(sent) : 0;
    }

    int m_socket;
    std::vector<std::byte> m_buffers;
    std::array<iovec, burstPackets> m_vectors {};
    std::array<mmsghdr, burstPackets> m_messages {};
    sockaddr_in m_target {};
};

// Creates Geneve datagrams as the fabric sends them, one for each flow.
std::vector<std::vector<std::byte>> makeDatagrams(const RelayOptions& options)
{
    std::vector<std::vector<std::byte>> datagrams(std::max<std::size_t>(options.flows, burstPackets));
    for (std::size_t flow = 0; flow < datagrams.size(); ++flow) {
        auto& bytes = datagrams[flow];
        bytes.resize(maximumGeneveHeaderBytes);
        bytes.resize(encodeGeneveHeader({}, bytes));
        const auto start = bytes.size();
        bytes.resize(start + sizeof(Ipv4Header) + sizeof(TcpHeader) + options.payloadBytes);
        auto& ip = *reinterpret_cast<Ipv4Header*>(bytes.data() + start);
        ip.versionAndLength = std::uint8_t(0x45);
        ip.totalLength = static_cast<std::uint16_t>(bytes.size() - start);
        ip.protocol = static_cast<std::uint8_t>(fleet::TransportProtocol::Tcp);
        ip.source = static_cast<std::uint32_t>(0x0b000000 + flow % options.flows);
        ip.destination = bench::serviceEndpoint(0).address;
        auto& tcp = *reinterpret_cast<TcpHeader*>(bytes.data() + start + sizeof(Ipv4Header));
        tcp.sourcePort = std::uint16_t(4000);
        tcp.destinationPort = bench::serviceEndpoint(0).port;
        tcp.dataOffset = std::uint8_t(0x50);
        tcp.flags = std::uint8_t(0x10);
    }
    return datagrams;
}

class RelayBench {
public:
    explicit RelayBench(const RelayOptions& options)
        : m_options(options)
        , m_datagrams(makeDatagrams(options))
        , m_workerEndpoint(loopback(options.port))
        , m_bareEndpoint(loopback(static_cast<std::uint16_t>(options.port + 1)))
        , m_targetEndpoint(loopback(static_cast<std::uint16_t>(options.port + 2)))
        , m_sender(loopback(static_cast<std::uint16_t>(options.port + 3)))
        , m_bareRelay(m_bareEndpoint)
        , m_target(m_targetEndpoint)
        , m_worker({ .endpoint = m_workerEndpoint, .tables = m_tables, .forwarder = m_forwarder, .metrics = m_metrics, .clock = m_clock })
    {
        m_tables.replaceIfNewer(std::make_shared<const fleet::FleetTable>(bench::makeTable({ .servers = options.servers, .agentEndpoint = format(m_targetEndpoint) })));
    }

    // Packets per second in one repetition.
    struct Rates {
        double worker = 0;
        double bare = 0;
    };

    Rates run()
    {
        Duration workerTime {};
        Duration bareTime {};
        std::size_t workerPackets = 0;
        std::size_t barePackets = 0;
        for (std::size_t packetsSent = 0; packetsSent < m_options.packets; packetsSent += burstPackets) {
            workerPackets += relayBurst(m_workerEndpoint, workerTime, [&] { m_worker.processBatch(); });
            barePackets += relayBurst(m_bareEndpoint, bareTime, [&] { m_bareRelay.relay(m_bareRelay.receive(), m_targetEndpoint); });
        }
        const auto rate = [](std::size_t packets, Duration time) { return static_cast<double>(packets) / std::chrono::duration<double>(time).count(); };
        return { .worker = rate(workerPackets, workerTime), .bare = rate(barePackets, bareTime) };
    }

private:
    // Sends a burst to the endpoint and adds the time of `relay` to `time`. Returns the number of packets that reached the
    // target.
    template <typename Relay>
    std::size_t relayBurst(const Endpoint& endpoint, Duration& time, Relay&& relay)
    {
        m_nextDatagram = m_nextDatagram + 2 * burstPackets <= m_datagrams.size() ? m_nextDatagram + burstPackets : 0;
        m_sender.send(std::span(m_datagrams).subspan(m_nextDatagram, burstPackets), endpoint);
        const auto start = m_clock.now();
        relay();
        time += m_clock.now() - start;
        return m_target.receive();
    }

    RelayOptions m_options;
    std::vector<std::vector<std::byte>> m_datagrams;
    Endpoint m_workerEndpoint;
    Endpoint m_bareEndpoint;
    Endpoint m_targetEndpoint;
    std::size_t m_nextDatagram = 0;
    SystemClock m_clock;
    MetricsRegistry m_metrics;
    fleet::TableHolder m_tables;
    FlowCache m_cache { 65536 };
    Forwarder m_forwarder { m_cache };
    BurstSocket m_sender;
    BurstSocket m_bareRelay;
    BurstSocket m_target;
    BalancerWorker m_worker;
};

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options usage("bench_relay", "Compares one balancer worker with a bare relay of the same packets.");
    usage.add_options()("packets", "packets per repetition", cxxopts::value<std::size_t>()->default_value("51200"));
    usage.add_options()("repetitions", "repetitions", cxxopts::value<std::size_t>()->default_value("7"));
    usage.add_options()("payload", "bytes after the TCP header", cxxopts::value<std::size_t>()->default_value("512"));
    usage.add_options()("servers", "servers of the service", cxxopts::value<std::uint32_t>()->default_value("7"));
    usage.add_options()("flows", "flows", cxxopts::value<std::uint32_t>()->default_value("4096"));
    usage.add_options()("port", "first of four UDP ports", cxxopts::value<std::uint16_t>()->default_value("24800"));
    usage.add_options()("json", "file to write; standard output if not given", cxxopts::value<std::string>()->default_value(""));
    const auto arguments = usage.parse(argc, argv);
    const RelayOptions options {
        .packets = arguments["packets"].as<std::size_t>(),
        .repetitions = arguments["repetitions"].as<std::size_t>(),
        .payloadBytes = arguments["payload"].as<std::size_t>(),
        .servers = arguments["servers"].as<std::uint32_t>(),
        .flows = arguments["flows"].as<std::uint32_t>(),
        .port = arguments["port"].as<std::uint16_t>(),
    };
    RelayBench bench(options);
    // The first repetition warms up caches and branch predictors and is not reported.
    bench.run();
    std::vector<double> worker;
    std::vector<double> bare;
    std::vector<double> ratio;
    for (std::size_t repetition = 0; repetition < options.repetitions; ++repetition) {
        const auto rates = bench.run();
        worker.push_back(rates.worker);
        bare.push_back(rates.bare);
        ratio.push_back(rates.worker / rates.bare);
    }
    bench::BenchReport report;
    report.parameter("packets", options.packets);
    report.parameter("payload_bytes", options.payloadBytes);
    report.parameter("servers", options.servers);
    report.parameter("flows", options.flows);
    report.figure("worker", "packets/s", worker);
    report.figure("bare_relay", "packets/s", bare);
    report.figure("worker_to_bare", "ratio", ratio);
    report.write(arguments["json"].as<std::string>());
}

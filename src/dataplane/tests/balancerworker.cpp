#include "dataplane/internal/balancerworker.h"

#include "dataplane/genevecodec.h"
#include "dataplane/internal/flowcache.h"
#include "dataplane/internal/forwarder.h"
#include "dataplane/tests/fixtures.h"
#include "dataplane/types/genevemessage.h"
#include "dataplane/types/tcpflags.h"
#include "fleet/itablesource.h"
#include "fleet/tableholder.h"
#include "net/udpsocket.h"
#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <tins/tins.h>
#include <unistd.h>

using namespace clementinesill;
using namespace clementinesill::dataplane;
using namespace clementinesill::dataplane::fixtures;

namespace {

// Number of allocations by this thread.
thread_local std::size_t allocationCount = 0;

} // namespace

// Counts allocations. operator new cannot be replaced for this, since CppUTest defines it; its version calls malloc.
extern "C" void* __libc_malloc(std::size_t bytes); // NOLINT(readability-identifier-naming): the C library's name
extern "C" void* malloc(std::size_t bytes)
{
    ++allocationCount;
    return __libc_malloc(bytes);
}

namespace {

const Endpoint balancerEndpoint { .address = processLoopbackAddress(), .port = 24900 };
const Endpoint fabricEndpoint { .address = processLoopbackAddress(), .port = 24901 };
constexpr auto agentPort = 24001;

// Returns the table set by the test and counts the calls.
class FakeTableSource final : public fleet::ITableSource {
public:
    std::shared_ptr<const fleet::FleetTable> table() const override
    {
        ++readCount;
        return current;
    }
    MonotonicTime leaderConfirmedAt() const override { return {}; }
    MonotonicTime confirmedAt() const override { return {}; }
    void recordSeenVersion(std::uint64_t) override { }
    std::uint64_t highestVersionSeen() const override { return 0; }

    std::shared_ptr<const fleet::FleetTable> current;
    mutable std::size_t readCount = 0;
};

// RAII wrapper of a UDP socket that sends to the balancer.
struct Socket {
    explicit Socket(const Endpoint& endpoint)
        : descriptor(net::openUdpSocket({ .endpoint = endpoint, .nonBlocking = true }))
    {
    }
    ~Socket() { close(descriptor); }

    void send(std::span<const std::byte> bytes) const
    {
        const sockaddr_in target { .sin_family = AF_INET, .sin_port = htons(balancerEndpoint.port), .sin_addr = { htonl(balancerEndpoint.address) }, .sin_zero = {} };
        sendto(descriptor, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
    }

    // The next datagram; empty if none is available.
    std::vector<std::byte> receive() const
    {
        std::vector<std::byte> bytes(65536);
        const auto length = recv(descriptor, bytes.data(), bytes.size(), 0);
        bytes.resize(length < 0 ? 0 : static_cast<std::size_t>(length));
        return bytes;
    }

    int descriptor;
};

std::vector<std::byte> makeDatagram(const Endpoint& service, std::size_t payloadBytes)
{
    auto ip = Tins::IP(formatAddress(service.address), "10.1.0.1") / Tins::TCP(service.port, 4000) / Tins::RawPDU(std::string(payloadBytes, 'x'));
    const auto packet = ip.serialize();
    std::vector<std::byte> bytes(maximumGeneveHeaderBytes);
    bytes.resize(encodeGeneveHeader({}, bytes));
    const auto* const start = reinterpret_cast<const std::byte*>(packet.data());
    bytes.insert(bytes.end(), start, start + packet.size());
    return bytes;
}

} // namespace

// clang-format off
TEST_GROUP(BalancerWorker)
{
    MetricsRegistry metrics;
    ManualClock clock;
    FakeTableSource tables;
    FlowCache cache { 64 };
    Forwarder forwarder { cache };
    Socket fabric { fabricEndpoint };
    Socket agent { { .address = balancerEndpoint.address, .port = agentPort } };
    std::atomic<bool> stop { true };

    void setup() override { tables.current = std::make_shared<const fleet::FleetTable>(makeTable(1, 1)); }

    BalancerWorkerOptions options() { return { .endpoint = balancerEndpoint, .tables = tables, .forwarder = forwarder, .metrics = metrics, .clock = clock, .drainIdleReads = 1 }; }

    std::uint64_t count(const char* metric, const Labels& labels = {}) { return metrics.counter(metric, labels).load(); }

    std::size_t countReceived() const
    {
        std::size_t packets = 0;
        while (!agent.receive().empty())
            ++packets;
        return packets;
    }
};
// clang-format on

TEST(BalancerWorker, DrainForwardsReceivedPackets)
{
    BalancerWorker worker(options());
    for (int packet = 0; packet < 300; ++packet)
        fabric.send(makeDatagram(firstService, 10));
    worker.run(stop);
    LONGS_EQUAL(300, countReceived());
    LONGS_EQUAL(300, count("balancer_packets_total", { { "reason", "first_in_rank" } }));
}

TEST(BalancerWorker, DrainEndsAtTimeout)
{
    auto bounded = options();
    bounded.drainTimeout = Duration(0);
    BalancerWorker worker(bounded);
    fabric.send(makeDatagram(firstService, 10));
    worker.run(stop);
    LONGS_EQUAL(0, countReceived());
}

TEST(BalancerWorker, SetsIngressAndBalancerInRoute)
{
    BalancerWorker worker(options());
    const auto sent = makeDatagram(firstService, 10);
    fabric.send(sent);
    worker.run(stop);
    const auto bytes = agent.receive();
    GeneveMessage message;
    CHECK(decodeGeneve(bytes, message) == PacketError::None);
    CHECK(message.route->ingress == fabricEndpoint && message.route->balancer == balancerEndpoint);
    LONGS_EQUAL(firstServiceId, message.serviceId);
    CHECK(std::equal(message.payload.begin(), message.payload.end(), sent.end() - static_cast<std::ptrdiff_t>(message.payload.size()), sent.end()));
}

TEST(BalancerWorker, CountsDroppedPackets)
{
    BalancerWorker worker(options());
    fabric.send(makeDatagram({ .address = firstService.address, .port = 81 }, 10));
    fabric.send(std::vector<std::byte>(3));
    fabric.send(std::vector<std::byte>(10000));
    auto badOffset = makeDatagram(firstService, 10);
    // The TCP data offset, after the Geneve and IPv4 headers.
    badOffset[8 + 20 + 12] = std::byte { 0xf0 };
    fabric.send(badOffset);
    worker.run(stop);
    LONGS_EQUAL(0, countReceived());
    LONGS_EQUAL(1, count("balancer_packets_total", { { "reason", "no_service" } }));
    LONGS_EQUAL(1, count("balancer_malformed_total", { { "error", "too_short" } }));
    LONGS_EQUAL(1, count("balancer_malformed_total", { { "error", "truncated" } }));
    LONGS_EQUAL(1, count("balancer_malformed_total", { { "error", "bad_transport_header" } }));
}

TEST(BalancerWorker, CountsOversizePacketsAndSendErrors)
{
    auto records = makeTable(1, 1);
    records.mutable_servers(1)->set_agent_endpoint("255.255.255.255:24002");
    tables.current = std::make_shared<const fleet::FleetTable>(records);
    BalancerWorker worker(options());
    // Outer IPv4 and UDP headers, Geneve header, option header, route, inner IPv4 and TCP headers.
    constexpr std::size_t overhead = 28 + 8 + 4 + 36 + 20 + 20;
    fabric.send(makeDatagram(firstService, 1500 - overhead));
    fabric.send(makeDatagram(secondService, 10));
    fabric.send(makeDatagram(firstService, 1501 - overhead));
    worker.run(stop);
    LONGS_EQUAL(2, countReceived());
    LONGS_EQUAL(1, count("balancer_oversize_packets_total"));
    LONGS_EQUAL(1, count("balancer_send_errors_total", { { "error", "unreachable" } }));
}

TEST(BalancerWorker, LearnsHoldersAndReadsTableOncePerBatch)
{
    tables.current = std::make_shared<const fleet::FleetTable>(makeTable(1, 2));
    BalancerWorker worker(options());
    GeneveMessage notification;
    notification.control = true;
    notification.holder = FlowHolder { .key = { .caller = parseEndpoint("10.1.0.1:4000"), .service = firstService }, .serverId = 1, .incarnation = 1 };
    std::vector<std::byte> bytes(maximumGeneveHeaderBytes);
    bytes.resize(encodeGeneveHeader(notification, bytes));
    fabric.send(bytes);
    for (int packet = 0; packet < 40; ++packet)
        fabric.send(makeDatagram(firstService, 10));
    worker.run(stop);
    LONGS_EQUAL(1, count("balancer_holders_learned_total"));
    LONGS_EQUAL(40, count("balancer_packets_total", { { "reason", "cache_hit" } }));
    LONGS_EQUAL(40, countReceived());
    LONGS_EQUAL(1, tables.readCount);
}

// Tables are updated while packets arrive. Every packet must be forwarded, and the table version in the routes must not
// decrease.
TEST(BalancerWorker, UsesNewTableForNextBatch)
{
    constexpr std::uint64_t versions = 200;
    fleet::TableHolder holder;
    holder.replaceIfNewer(tables.current);
    BalancerWorker worker({ .endpoint = balancerEndpoint, .tables = holder, .forwarder = forwarder, .metrics = metrics, .clock = clock, .drainIdleReads = 1 });
    std::thread updates([&] {
        for (std::uint64_t version = 2; version <= versions; ++version)
            holder.replaceIfNewer(std::make_shared<const fleet::FleetTable>(makeTable(version, 1)));
    });
    std::uint64_t previousVersion = 0;
    for (int round = 0; round < 100; ++round) {
        fabric.send(makeDatagram(firstService, 10));
        worker.processBatch();
        const auto bytes = agent.receive();
        GeneveMessage message;
        CHECK(decodeGeneve(bytes, message) == PacketError::None);
        CHECK(message.route->tableVersion >= previousVersion);
        previousVersion = message.route->tableVersion;
    }
    updates.join();
    fabric.send(makeDatagram(firstService, 10));
    worker.processBatch();
    const auto bytes = agent.receive();
    GeneveMessage message;
    CHECK(decodeGeneve(bytes, message) == PacketError::None);
    LONGS_EQUAL(versions, message.route->tableVersion);
}

TEST(BalancerWorker, ForwardsWithoutAllocating)
{
    BalancerWorker worker(options());
    for (int packet = 0; packet < 100; ++packet)
        fabric.send(makeDatagram(firstService, 1200));
    const auto before = allocationCount;
    worker.run(stop);
    LONGS_EQUAL(0, allocationCount - before);
    LONGS_EQUAL(100, countReceived());
}

TEST(BalancerWorker, WorkersShareEndpoint)
{
    BalancerWorker first(options());
    BalancerWorker second(options());
    for (std::uint16_t port = 24910; port < 24942; ++port)
        Socket({ .address = balancerEndpoint.address, .port = port }).send(makeDatagram(firstService, 10));
    std::thread thread([&] { second.run(stop); });
    first.run(stop);
    thread.join();
    LONGS_EQUAL(32, countReceived());
    LONGS_EQUAL(32, count("balancer_packets_total", { { "reason", "first_in_rank" } }));
}

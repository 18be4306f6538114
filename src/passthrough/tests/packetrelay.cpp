#include "passthrough/internal/packetrelay.h"

#include "dataplane/genevecodec.h"
#include "dataplane/types/genevemessage.h"
#include "fleet/tableholder.h"
#include "net/udpsocket.h"
#include "passthrough/ipacketformat.h"
#include "passthrough/tests/waitingagent.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <array>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>

using namespace clementinesill;
using namespace clementinesill::passthrough;

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t loopback = 0x7f000001;
constexpr std::uint32_t callerAddress = 0x7f000002;

// Packets are the bytes of a FlowPacket.
class RawFormat final : public IPacketFormat {
public:
    std::optional<FlowPacket> decode(std::span<const std::byte> bytes) const override
    {
        FlowPacket packet;
        if (bytes.size() != sizeof(packet))
            return std::nullopt;
        std::memcpy(&packet, bytes.data(), sizeof(packet));
        return packet;
    }

    void setMark(std::span<std::byte> bytes, std::uint32_t mark) const override
    {
        auto packet = *decode(bytes);
        packet.mark = mark;
        std::memcpy(bytes.data(), &packet, sizeof(packet));
    }

    std::vector<std::byte> makeReset(const FlowPacket& packet) const override
    {
        return encode({ .key = { .caller = packet.key.service, .service = packet.key.caller }, .rst = true });
    }

    static std::vector<std::byte> encode(const FlowPacket& packet)
    {
        std::vector<std::byte> bytes(sizeof(packet));
        std::memcpy(bytes.data(), &packet, sizeof(packet));
        return bytes;
    }
};

// A socket of the simulated balancer, caller or server.
class TestSocket {
public:
    explicit TestSocket(const Endpoint& endpoint)
        : m_socket(net::openUdpSocket({ .endpoint = endpoint, .receiveTimeout = milliseconds(1) }))
    {
    }
    TestSocket(const TestSocket&) = delete;
    TestSocket& operator=(const TestSocket&) = delete;
    ~TestSocket() { close(m_socket); }

    Endpoint endpoint() const
    {
        sockaddr_in address {};
        socklen_t length = sizeof(address);
        getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &length);
        return { .address = ntohl(address.sin_addr.s_addr), .port = ntohs(address.sin_port) };
    }

    void send(std::span<const std::byte> header, std::span<const std::byte> payload, const Endpoint& target) const { CHECK(net::sendDatagram(m_socket, header, payload, target)); }

    std::optional<std::vector<std::byte>> receive() const
    {
        std::vector<std::byte> bytes(2048);
        const auto length = recv(m_socket, bytes.data(), bytes.size(), 0);
        if (length < 0)
            return std::nullopt;
        bytes.resize(static_cast<std::size_t>(length));
        return bytes;
    }

private:
    int m_socket;
};

// A free port of the loopback network for the relay.
Endpoint freeEndpoint() { return TestSocket({ .address = loopback, .port = 0 }).endpoint(); }

} // namespace

// clang-format off
TEST_GROUP(PacketRelay)
{
    WaitingAgent agent;
    RawFormat format;
    fleet::TableHolder tables;
    MetricsRegistry metrics;
    Endpoint daemonEndpoint = freeEndpoint();
    Endpoint serverPacketEndpoint = freeEndpoint();
    TestSocket server { { .address = loopback, .port = 0 } };
    TestSocket balancer { { .address = loopback, .port = 0 } };
    TestSocket caller { { .address = callerAddress, .port = daemonEndpoint.port } };
    boost::asio::io_context loop { 1 };
    PacketRelay relay { loop, { .daemonEndpoint = daemonEndpoint, .serverPacketEndpoint = serverPacketEndpoint, .serverEndpoint = server.endpoint(), .format = format, .router = agent.waitingRouter, .flows = agent.flows, .load = agent.load, .localServer = agent.server, .tables = tables, .metrics = metrics, .onTableChanged = [](const auto&) {}, .requestConfirmation = [] {}, .clock = agent.clock, .waiting = &agent.waiting, .sendLoadNotices = true } };

    void setup() override
    {
        tables.replaceIfNewer(agent.table);
        agent.fill();
        relay.setServer(1, 1);
        relay.start();
    }

    FlowPacket syn(std::uint16_t port = 1) const
    {
        auto packet = synPacket(port);
        packet.key.caller.address = callerAddress;
        return packet;
    }

    // Sends a SYN that a balancer has placed by a table of this version, and that has visited the other servers; waits until it is
    // held.
    void holdSyn(std::optional<std::uint64_t> tableVersion = std::nullopt)
    {
        sendSyn(balancer, syn(), tableVersion);
        runUntil([this] { return !agent.waiting.empty(); });
    }

    void sendSyn(const TestSocket& from, const FlowPacket& packet, std::optional<std::uint64_t> tableVersion)
    {
        dataplane::GeneveMessage message;
        message.serviceId = deskService;
        message.route = agent.lastSearch().route;
        message.route->balancer = from.endpoint();
        message.route->tableVersion = tableVersion.value_or(message.route->tableVersion);
        message.visited = agent.lastSearch().visited;
        std::array<std::byte, dataplane::maximumGeneveHeaderBytes> header;
        const auto length = dataplane::encodeGeneveHeader(message, header);
        from.send(std::span(header).first(length), RawFormat::encode(packet), daemonEndpoint);
    }

    // Version in the notices that the balancer has received; 0 if there is none.
    std::uint64_t reportedTableVersion() const { return reportedTableVersion(balancer); }

    static std::uint64_t reportedTableVersion(const TestSocket& receiver)
    {
        std::uint64_t version = 0;
        while (const auto bytes = receiver.receive()) {
            dataplane::GeneveMessage message;
            CHECK(dataplane::decodeGeneve(*bytes, message) == dataplane::PacketError::None);
            if (message.control)
                version = std::max(version, message.newerTableVersion.value_or(0));
        }
        return version;
    }

    void runUntil(const std::function<bool()>& done)
    {
        for (int attempt = 0; !done() && attempt < 1000; ++attempt)
            loop.run_for(milliseconds(5));
        CHECK(done());
    }
};
// clang-format on

// The bytes of a held SYN must outlive the receive buffer.
TEST(PacketRelay, DeliversHeldSynUnchangedWhenRequestEnds)
{
    holdSyn();
    CHECK_FALSE(server.receive().has_value());
    CHECK(balancer.receive().has_value());
    server.send({}, RawFormat::encode(serverPacket(5001, 100, 101)), serverPacketEndpoint);
    runUntil([this] { return agent.waiting.empty(); });
    const auto delivered = server.receive();
    CHECK(delivered.has_value());
    const auto packet = format.decode(*delivered);
    CHECK(packet && packet->opensFlow() && packet->key == syn().key && packet->sequence == syn().sequence);
    CHECK_FALSE(caller.receive().has_value());
}

// The end of a wait must not depend on another packet, and the timer must not run once nothing waits.
TEST(PacketRelay, ResetsHeldSynAtEndOfWait)
{
    holdSyn();
    agent.clock.advance(milliseconds(100));
    runUntil([this] { return agent.waiting.empty(); });
    const auto received = caller.receive();
    CHECK(received && format.decode(*received)->rst);
    CHECK_FALSE(server.receive().has_value());
    LONGS_EQUAL(0, loop.run_for(milliseconds(200)));
}

// Drain is reported by a heartbeat, without any packet.
TEST(PacketRelay, DrainReleasesHeldSyn)
{
    holdSyn();
    agent.sendHeartbeat(true);
    relay.releaseWaiting();
    CHECK(agent.waiting.empty());
    const auto received = caller.receive();
    CHECK(received && format.decode(*received)->rst);
}

// Guards against a balancer that goes back behind a configuration whose effect was seen: its controller is silent, and agents with the
// newer and with the older configuration take its packets in turn (review/8).
TEST(PacketRelay, ReportsNewerConfigurationToBalancer)
{
    holdSyn(agent.table->version() - 1);
    LONGS_EQUAL(agent.table->version(), reportedTableVersion());
}

// Guards against a balancer that gets no notice because the packets of another one arrive just before its own.
TEST(PacketRelay, ReportsNewerConfigurationToEachBalancer)
{
    const TestSocket otherBalancer { { .address = loopback, .port = 0 } };
    const auto older = agent.table->version() - 1;
    sendSyn(balancer, syn(1), older);
    sendSyn(otherBalancer, syn(2), older);
    runUntil([this] { return agent.waiting.size() == 2; });
    LONGS_EQUAL(agent.table->version(), reportedTableVersion(balancer));
    LONGS_EQUAL(agent.table->version(), reportedTableVersion(otherBalancer));
}

TEST(PacketRelay, DoesNotReportNewerTableWithSameConfiguration)
{
    holdSyn(agent.table->version());
    LONGS_EQUAL(0, reportedTableVersion());
}

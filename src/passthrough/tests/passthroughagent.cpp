#include "dataplane/genevecodec.h"
#include "dataplane/types/genevemessage.h"
#include "foundation/error.h"
#include "foundation/irolemodule.h"
#include "foundation/metrics.h"
#include "net/ilistener.h"
#include "net/udpsocket.h"
#include "passthrough/iheartbeathandler.h"
#include "passthrough/ipacketformat.h"
#include "passthrough/passthroughmodules.h"
#include "passthrough/tests/fakefleet.h"
#include "passthrough/tests/fakehealthserver.h"
#include "passthrough/tests/testtable.h"
#include "passthrough/types/serverheartbeat.h"
#include "settings.pb.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <chrono>
#include <condition_variable>
#include <cstring>
#include <functional>
#include <future>
#include <mutex>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace clementinesill;
using namespace clementinesill::passthrough;

namespace {

// Upper bound of a wait; reached only if the agent fails.
constexpr std::chrono::seconds waitTimeout { 20 };
// Within this time an agent that does not wait for its loop has acknowledged a heartbeat.
constexpr std::chrono::milliseconds earlyAcknowledgement { 100 };
// Heartbeat interval of the tests that wait for heartbeats.
constexpr std::chrono::milliseconds shortInterval { 200 };
// Heartbeats that are sent at most until an expected effect is seen.
constexpr int maximumAttempts = 100;

// A loopback address per process, so that test programs that run concurrently share no port.
Endpoint loopback(std::uint16_t port)
{
    constexpr std::uint32_t processMask = 0xffff;
    return { .address = 0x7f000001 | (static_cast<std::uint32_t>(getpid()) & processMask) << 8, .port = port };
}

// Packets are copies of FlowPacket. hold() stops the agent's loop at the next packet until release().
class HoldingFormat final : public IPacketFormat {
public:
    std::optional<FlowPacket> decode(std::span<const std::byte> bytes) const override
    {
        std::unique_lock lock(m_mutex);
        m_isHeld = m_hold;
        m_changed.notify_all();
        m_changed.wait(lock, [this] { return !m_hold; });
        m_isHeld = false;
        FlowPacket packet;
        if (bytes.size() != sizeof(packet))
            return std::nullopt;
        std::memcpy(&packet, bytes.data(), sizeof(packet));
        return packet;
    }

    void setMark(std::span<std::byte>, std::uint32_t) const override { }
    std::vector<std::byte> makeReset(const FlowPacket&) const override { return std::vector<std::byte>(1); }

    void hold()
    {
        const std::lock_guard lock(m_mutex);
        m_hold = true;
    }

    bool waitUntilHeld()
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, waitTimeout, [this] { return m_isHeld; });
    }

    void release()
    {
        const std::lock_guard lock(m_mutex);
        m_hold = false;
        m_changed.notify_all();
    }

private:
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    mutable bool m_isHeld = false;
    bool m_hold = false;
};

class FakeListener final : public net::IListener {
public:
    void stop() override { }
};

class TestSocket {
public:
    explicit TestSocket(const Endpoint& endpoint)
        : m_socket(net::openUdpSocket({ .endpoint = endpoint, .receiveTimeout = waitTimeout }))
    {
    }
    ~TestSocket() { close(m_socket); }
    TestSocket(const TestSocket&) = delete;
    TestSocket& operator=(const TestSocket&) = delete;

    bool waitForPacket() { return receive(0); }

    std::size_t receiveAll()
    {
        std::size_t count = 0;
        while (receive(MSG_DONTWAIT))
            ++count;
        return count;
    }

    // Sends the SYN as a balancer does to server 1.
    void sendSyn(std::uint16_t callerPort, const Endpoint& agent, std::uint64_t tableVersion)
    {
        dataplane::GeneveMessage message;
        message.serviceId = deskService;
        message.route = dataplane::Route { .tableVersion = tableVersion, .serviceId = deskService, .serverId = 1, .incarnation = 1, .balancer = {}, .ingress = {}, .flags = dataplane::Route::opensFlow };
        std::array<std::byte, dataplane::maximumGeneveHeaderBytes> header;
        const auto headerBytes = dataplane::encodeGeneveHeader(message, header);
        const auto packet = synPacket(callerPort);
        CHECK(net::sendDatagram(m_socket, std::span(header).first(headerBytes), std::as_bytes(std::span(&packet, 1)), agent));
    }

private:
    bool receive(int flags)
    {
        std::array<std::byte, 2048> buffer;
        return recv(m_socket, buffer.data(), buffer.size(), flags) > 0;
    }

    int m_socket;
};

} // namespace

// clang-format off
TEST_GROUP(PassThroughAgent)
{
    const Endpoint agentEndpoint = loopback(8172);
    const Endpoint otherAgentEndpoint = loopback(8173);
    const Endpoint serverEndpoint = loopback(8174);
    HoldingFormat format;
    TestTable tables;
    FakeFleet fleet;
    MetricsRegistry metrics;
    TestSocket server { serverEndpoint };
    // Endpoint of all other agents, and source of the balancer's packets.
    TestSocket others { otherAgentEndpoint };
    IHeartbeatHandler* heartbeats = nullptr;
    schema::DaemonSettings settings;
    std::unique_ptr<IRoleModule> agent;

    std::unique_ptr<IRoleModule> makeAgent(const schema::DaemonSettings& settings)
    {
        return makePassThroughAgent(settings, fleet, format,
            [](const auto&, const auto&) { return std::make_unique<FakeListener>(); },
            [this](const auto&, IHeartbeatHandler& handler) { heartbeats = &handler; return std::make_unique<FakeListener>(); }, metrics);
    }

    void setup() override
    {
        for (const std::uint32_t id : { 1, 2, 3, 4 })
            tables.server(id).set_agent_endpoint(clementinesill::format(id == 1 ? agentEndpoint : otherAgentEndpoint));
        fleet.current = tables.build();
        settings.set_zone("mandaue");
        settings.mutable_agent()->set_service("desk");
        settings.mutable_agent()->set_server_endpoint(clementinesill::format(serverEndpoint));
        auto& passThrough = *settings.mutable_agent()->mutable_pass_through();
        passThrough.set_packet_endpoint(clementinesill::format(agentEndpoint));
        passThrough.set_server_packets_endpoint(clementinesill::format(loopback(8175)));
        passThrough.set_heartbeat_ms(60'000);
        passThrough.set_flow_lifetime_seconds(60);
        agent = makeAgent(settings);
        agent->start();
        heartbeats->onHeartbeat(heartbeat(1, false));
    }

    void teardown() override
    {
        format.release();
        agent->stop();
    }

    // Starts another agent, with the current tables and a short heartbeat interval.
    void restartAgent()
    {
        agent.reset();
        fleet.current = tables.build();
        settings.mutable_agent()->mutable_pass_through()->set_heartbeat_ms(static_cast<std::uint32_t>(shortInterval.count()));
        agent = makeAgent(settings);
        agent->start();
    }

    // Sends the heartbeat after a short interval.
    bool isAcknowledged(const ServerHeartbeat& heartbeat)
    {
        std::this_thread::sleep_for(shortInterval);
        try {
            heartbeats->onHeartbeat(heartbeat);
        } catch (const Error& error) {
            CHECK(error.kind() == ErrorKind::Unavailable);
            return false;
        }
        return true;
    }

    ServerHeartbeat heartbeat(std::uint64_t sequence, bool draining) const
    {
        return { .name = "server-1", .service = "desk", .zone = "mandaue", .slots = 8, .draining = draining, .sequence = sequence, .startedAtMs = 5 };
    }

    void sendSyn(std::uint16_t callerPort) { others.sendSyn(callerPort, agentEndpoint, fleet.current->version()); }

    // Checks that no flow is opened at the server, also once its registration is complete.
    void checkRejectsFlows()
    {
        for (std::uint16_t port = 1; port <= 5; ++port) {
            sendSyn(port);
            CHECK(others.waitForPacket());
            std::this_thread::sleep_for(earlyAcknowledgement);
        }
        LONGS_EQUAL(0, server.receiveAll());
    }

    // Stops the loop at the first of two SYNs that it reads in one wake-up, calls report meanwhile, and checks that no flow is
    // opened at the server after report has returned.
    void checkNoFlowOpensAfter(const std::function<void()>& report)
    {
        format.hold();
        sendSyn(1);
        sendSyn(2);
        CHECK(format.waitUntilHeld());
        auto reported = std::async(std::launch::async, report);
        const bool acknowledgedEarly = reported.wait_for(earlyAcknowledgement) == std::future_status::ready;
        format.release();
        reported.get();
        // Flows opened before the acknowledgement.
        if (!acknowledgedEarly)
            server.receiveAll();
        sendSyn(3);
        CHECK(others.waitForPacket());
        LONGS_EQUAL(0, server.receiveAll());
    }
};
// clang-format on

// Guards against a heartbeat that is acknowledged while packets of the same wake-up are still decided by the state before it.
TEST(PassThroughAgent, OpensNoFlowAfterDrainingHeartbeatIsAcknowledged)
{
    sendSyn(9);
    CHECK(server.waitForPacket());
    checkNoFlowOpensAfter([this] { heartbeats->onHeartbeat(heartbeat(2, true)); });
}

// The same for a server that reports its shutdown.
TEST(PassThroughAgent, OpensNoFlowAfterShutdownIsAcknowledged)
{
    sendSyn(9);
    CHECK(server.waitForPacket());
    checkNoFlowOpensAfter([this] { heartbeats->onServerShutdown("server-1"); });
}

// Guards against an acknowledgement of a heartbeat that a stuck loop has not applied.
TEST(PassThroughAgent, DoesNotAcknowledgeHeartbeatThatIsNotApplied)
{
    format.hold();
    sendSyn(1);
    CHECK(format.waitUntilHeld());
    CHECK_THROWS(Error, heartbeats->onHeartbeat(heartbeat(2, true)));
    format.release();
}

// Guards against two agents that are active for one server at a handover: the second one cannot start before the first one has
// ended, and the first one keeps serving.
TEST(PassThroughAgent, SecondAgentOfServerCannotStart)
{
    CHECK_THROWS(Error, makeAgent(settings));
    sendSyn(9);
    CHECK(server.waitForPacket());
}

// Guards against a drain that is acknowledged and ignored: the restarted server reports an earlier start than the instance before,
// since its clock jumped back (review/5).
TEST(PassThroughAgent, OpensNoFlowAfterDrainOfServerWhoseClockJumpedBackIsAcknowledged)
{
    restartAgent();
    auto first = heartbeat(1, false);
    first.startedAtMs += 2400;
    heartbeats->onHeartbeat(first);
    auto second = heartbeat(1, true);
    bool acknowledged = false;
    for (; !acknowledged && second.sequence < maximumAttempts; ++second.sequence)
        acknowledged = isAcknowledged(second);
    CHECK(acknowledged);
    checkNoFlowOpensAfter([&] { heartbeats->onHeartbeat(second); });
}

// Guards against the same for a heartbeat that tells nothing about the server, since its sender may have ended.
TEST(PassThroughAgent, DoesNotAcknowledgeDrainOfInstanceThatIsNotVerified)
{
    auto delayed = heartbeat(7, true);
    delayed.startedAtMs -= 1;
    CHECK_THROWS(Error, heartbeats->onHeartbeat(delayed));
    sendSyn(9);
    CHECK(server.waitForPacket());
}

// Guards against a drain that is undone by the delayed first heartbeat of an instance that had a later clock (variant of review/5).
TEST(PassThroughAgent, OpensNoFlowAfterDelayedHeartbeatOfEarlierInstance)
{
    heartbeats->onHeartbeat(heartbeat(2, true));
    auto delayed = heartbeat(1, false);
    delayed.startedAtMs += 2400;
    CHECK_THROWS(Error, heartbeats->onHeartbeat(delayed));
    checkRejectsFlows();
}

// Guards against the end of a cold start by the delayed heartbeat of an instance that was warm.
TEST(PassThroughAgent, KeepsColdStartAfterDelayedHeartbeatOfEarlierInstance)
{
    // The settings allow no flow to a cold server of a service with a rate.
    tables.table().mutable_services(0)->set_cold_flows_per_second(1);
    restartAgent();
    // The agent assumes for two intervals that the server is cold.
    std::this_thread::sleep_for(3 * shortInterval);
    heartbeats->onHeartbeat(heartbeat(1, false));
    auto cold = heartbeat(2, false);
    cold.coldRemaining = std::chrono::minutes(1);
    heartbeats->onHeartbeat(cold);
    auto delayed = heartbeat(1, false);
    delayed.startedAtMs += 2400;
    heartbeats->onHeartbeat(delayed);
    checkRejectsFlows();
}

// Guards against a drain that ends because of a long series of delayed heartbeats while the draining server's own ones are missing.
TEST(PassThroughAgent, SeriesOfHeartbeatsEndsDrainOnlyIfServerIsHealthy)
{
    tables.table().mutable_services(0)->set_health_path("/health");
    FakeHealthServer health(serverEndpoint);
    restartAgent();
    heartbeats->onHeartbeat(heartbeat(2, true));
    auto other = heartbeat(0, false);
    other.startedAtMs += 2400;
    const auto isNextAcknowledged = [&] {
        ++other.sequence;
        return isAcknowledged(other);
    };
    for (int attempts = 0; attempts < maximumAttempts && health.answered() < 3; ++attempts)
        CHECK_FALSE(isNextAcknowledged());
    CHECK(health.answered() >= 3);
    health.setHealthy(true);
    bool acknowledged = false;
    for (int attempts = 0; attempts < maximumAttempts && !acknowledged; ++attempts)
        acknowledged = isNextAcknowledged();
    CHECK(acknowledged);
}

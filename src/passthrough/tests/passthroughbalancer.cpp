#include "dataplane/genevecodec.h"
#include "dataplane/types/genevemessage.h"
#include "foundation/irolemodule.h"
#include "foundation/metrics.h"
#include "net/ilistener.h"
#include "net/udpsocket.h"
#include "passthrough/ipacketformat.h"
#include "passthrough/passthroughmodules.h"
#include "passthrough/tests/fakefleet.h"
#include "passthrough/tests/testtable.h"
#include "settings.pb.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <chrono>
#include <memory>
#include <unistd.h>

using namespace clementinesill;
using namespace clementinesill::passthrough;

namespace {

// Upper bound of a wait; reached only if the balancer fails.
constexpr std::chrono::seconds waitTimeout { 20 };
// An effect that must not occur would be seen by then.
constexpr std::chrono::milliseconds settleTime { 400 };

// A loopback address per process, so that test programs that run concurrently share no port.
Endpoint loopback(std::uint16_t port)
{
    constexpr std::uint32_t processMask = 0xffff;
    return { .address = 0x7f000002 | (static_cast<std::uint32_t>(getpid()) & processMask) << 8, .port = port };
}

// Accepts no packet.
class EmptyFormat final : public IPacketFormat {
public:
    std::optional<FlowPacket> decode(std::span<const std::byte>) const override { return std::nullopt; }
    void setMark(std::span<std::byte>, std::uint32_t) const override { }
    std::vector<std::byte> makeReset(const FlowPacket&) const override { return std::vector<std::byte>(1); }
};

class FakeListener final : public net::IListener {
public:
    void stop() override { }
};

} // namespace

// clang-format off
TEST_GROUP(PassThroughBalancer)
{
    EmptyFormat format;
    MetricsRegistry metrics;
    FakeFleet fleet;
    std::unique_ptr<IRoleModule> balancer;

    void setup() override
    {
        fleet.current = TestTable().build();
        schema::DaemonSettings settings;
        auto& passThrough = *settings.mutable_balancer()->mutable_pass_through();
        passThrough.set_packet_endpoint(clementinesill::format(loopback(8172)));
        passThrough.set_peer_endpoint(clementinesill::format(loopback(7720)));
        balancer = makePassThroughBalancer(settings, fleet, format, [](const auto&, const auto&) { return std::make_unique<FakeListener>(); }, metrics);
        balancer->start();
    }

    void teardown() override { balancer->stop(); }

    void reportTable(std::uint64_t version)
    {
        dataplane::GeneveMessage message;
        message.control = true;
        message.newerTableVersion = version;
        std::array<std::byte, dataplane::maximumGeneveHeaderBytes> header;
        const auto length = dataplane::encodeGeneveHeader(message, header);
        const int socket = net::openUdpSocket({ .endpoint = loopback(0), .receiveTimeout = waitTimeout });
        CHECK(net::sendDatagram(socket, std::span(header).first(length), {}, loopback(7720)));
        close(socket);
    }
};
// clang-format on

// Guards against a balancer that keeps an older configuration until the lease of its silent controller ends, while agents act by a
// newer one (review/8).
TEST(PassThroughBalancer, LeavesControllerThatLacksReportedTable)
{
    reportTable(fleet.current->version() + 1);
    CHECK(fleet.waitForNewerVersion(waitTimeout));
    LONGS_EQUAL(fleet.current->version() + 1, fleet.newerVersions.front());
}

TEST(PassThroughBalancer, KeepsControllerIfItsTableIsNotOlder)
{
    reportTable(fleet.current->version());
    CHECK_FALSE(fleet.waitForNewerVersion(settleTime));
}

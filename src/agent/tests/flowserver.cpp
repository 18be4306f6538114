#include "agent/internal/flowserver.h"

#include "agent/internal/flowtable.h"
#include "agent/tests/fakeadmission.h"
#include "foundation/error.h"
#include "foundation/metrics.h"
#include "tcpstack/itcpconnection.h"
#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

using namespace clementinesill;
using namespace clementinesill::agent;
namespace asio = boost::asio;

namespace {

constexpr Endpoint serviceEndpoint { .address = 0x0a000001, .port = 80 };

// A caller's connection that sends no data until it is aborted.
class IdleCaller final : public tcpstack::ITcpConnection {
public:
    IdleCaller(asio::io_context& loop, Endpoint remote)
        : m_abortTimer(loop, asio::steady_timer::time_point::max())
        , m_remote(remote)
    {
    }

    asio::awaitable<std::size_t> readSome(std::span<std::byte>) override
    {
        boost::system::error_code code;
        if (!aborted)
            co_await m_abortTimer.async_wait(asio::redirect_error(asio::use_awaitable, code));
        throw Error(ErrorKind::Network, "aborted", "none");
    }
    asio::awaitable<void> write(std::span<const std::byte>) override { co_return; }
    void shutdownWrite() override { }
    void abort() override
    {
        aborted = true;
        m_abortTimer.cancel();
    }
    Endpoint remote() const override { return m_remote; }
    void enableKeepalive(std::chrono::milliseconds, std::chrono::milliseconds, unsigned) override { keepalive = true; }
    void close() override { }

    bool aborted = false;
    bool keepalive = false;

private:
    asio::steady_timer m_abortTimer;
    Endpoint m_remote;
};

} // namespace

// clang-format off
TEST_GROUP(FlowServer)
{
    asio::io_context loop { 1 };
    ManualClock clock;
    MetricsRegistry metrics;
    FlowTable flows;
    FakeAdmission admission;
    // Listens, so that connections succeed although none is accepted.
    asio::ip::tcp::acceptor backend { loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0) };
    FlowServer server { loop, { .identity = { .service = serviceEndpoint }, .server = { .address = 0x7f000001, .port = backend.local_endpoint().port() }, .flows = flows, .admission = admission, .clock = clock, .metrics = metrics } };

    std::shared_ptr<IdleCaller> caller(std::uint16_t port) { return std::make_shared<IdleCaller>(loop, Endpoint { .address = 0x0b000001, .port = port }); }
    static fleet::FlowKey key(std::uint16_t port) { return { .caller = { .address = 0x0b000001, .port = port }, .service = serviceEndpoint }; }

    std::shared_ptr<IdleCaller> serve(std::uint16_t port)
    {
        admission.admitFlow();
        flows.insert(key(port), { .state = FlowState::Established, .lastActivity = clock.now() });
        auto connection = caller(port);
        server.accept(connection);
        return connection;
    }
};
// clang-format on

TEST(FlowServer, ResetsConnectionThatWasNotAdmitted)
{
    auto unknown = caller(1);
    server.accept(unknown);
    CHECK(unknown->aborted);
    serve(2);
    auto second = caller(2);
    server.accept(second);
    CHECK(second->aborted);
    LONGS_EQUAL(1, server.servedFlowCount());
    LONGS_EQUAL(1, admission.flows);
}

TEST(FlowServer, AbortedFlowReleasesAdmissionOnceAndIsClosing)
{
    auto connection = serve(1);
    CHECK(connection->keepalive);
    LONGS_EQUAL(1, server.abortAll());
    while (server.servedFlowCount())
        loop.run_one();
    CHECK(connection->aborted);
    LONGS_EQUAL(0, admission.flows);
    CHECK(flows.find(key(1))->state == FlowState::Closing);
    LONGS_EQUAL(0, server.abortAll());
}

// A caller may disappear without closing its connection.
TEST(FlowServer, AbortsOnlyIdleFlows)
{
    auto idle = serve(1);
    clock.advance(std::chrono::seconds(50));
    auto active = serve(2);
    clock.advance(std::chrono::seconds(10));
    LONGS_EQUAL(1, server.abortIdle(std::chrono::seconds(60)));
    CHECK(idle->aborted);
    CHECK_FALSE(active->aborted);
    while (server.servedFlowCount() > 1)
        loop.run_one();
    LONGS_EQUAL(1, admission.flows);
}

TEST(FlowServer, EndOfOldFlowKeepsNewFlowOfSameKey)
{
    serve(1);
    server.abortAll();
    flows.insert(key(1), { .lastActivity = clock.now() });
    while (server.servedFlowCount())
        loop.run_one();
    CHECK(flows.find(key(1))->state == FlowState::HalfOpen);
}

TEST(FlowServer, ReportsRefusedServerConnectionAndResetsCaller)
{
    int refused = 0;
    server.onServerRefused([&] { ++refused; });
    backend.close();
    auto connection = serve(1);
    while (server.servedFlowCount())
        loop.run_one();
    LONGS_EQUAL(1, refused);
    CHECK(connection->aborted);
    LONGS_EQUAL(0, admission.flows);
}

#include "net/connectionprobe.h"

#include "foundation/types/endpoint.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_future.hpp>

using namespace clementinesill;

namespace {

std::optional<bool> acceptsConnections(const Endpoint& endpoint)
{
    boost::asio::io_context context;
    auto result = boost::asio::co_spawn(context, net::acceptsConnections(endpoint), boost::asio::use_future);
    context.run();
    return result.get();
}

} // namespace

// clang-format off
TEST_GROUP(ConnectionProbe) {};
// clang-format on

TEST(ConnectionProbe, DistinguishesClosedPortFromListener)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 });
    const Endpoint endpoint { .address = boost::asio::ip::address_v4::loopback().to_uint(), .port = acceptor.local_endpoint().port() };
    CHECK_FALSE(net::refusesConnections(endpoint));
    CHECK(acceptsConnections(endpoint) == true);
    acceptor.close();
    CHECK_TRUE(net::refusesConnections(endpoint));
    CHECK(acceptsConnections(endpoint) == false);
}

#include "net/connectionprobe.h"

#include "foundation/types/endpoint.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

using namespace clementinesill;

// clang-format off
TEST_GROUP(ConnectionProbe) {};
// clang-format on

TEST(ConnectionProbe, DistinguishesClosedPortFromListener)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 });
    const Endpoint endpoint { .address = boost::asio::ip::address_v4::loopback().to_uint(), .port = acceptor.local_endpoint().port() };
    CHECK_FALSE(net::refusesConnections(endpoint));
    acceptor.close();
    CHECK_TRUE(net::refusesConnections(endpoint));
}

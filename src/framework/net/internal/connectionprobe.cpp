#include "net/connectionprobe.h"

#include "foundation/types/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace clementinesill::net {

namespace asio = boost::asio;

namespace {

// Several round trips within a zone; the endpoint is usually on the same VM.
constexpr std::chrono::milliseconds responseTimeout { 200 };

} // namespace

bool refusesConnections(const Endpoint& endpoint)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    bool refused = false;
    socket.async_connect({ asio::ip::address_v4(endpoint.address), endpoint.port }, [&](const boost::system::error_code& error) { refused = error == asio::error::connection_refused; });
    context.run_for(responseTimeout);
    return refused;
}

} // namespace clementinesill::net

#include "net/connectionprobe.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/beast/core/tcp_stream.hpp>
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
    auto accepts = asio::co_spawn(context, acceptsConnections(endpoint), asio::use_future);
    context.run();
    return accepts.get() == false;
}

asio::awaitable<std::optional<bool>> acceptsConnections(Endpoint endpoint)
{
    boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(responseTimeout);
    boost::system::error_code code;
    co_await stream.async_connect(asio::ip::tcp::endpoint(asio::ip::address_v4(endpoint.address), endpoint.port), asio::redirect_error(asio::use_awaitable, code));
    if (code && code != asio::error::connection_refused)
        co_return std::nullopt;
    co_return !code;
}

} // namespace clementinesill::net

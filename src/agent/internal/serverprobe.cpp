#include "agent/serverprobe.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace clementinesill::agent {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// Limit of the health response that is read.
constexpr std::uint64_t maximumResponseBytes = 4096;

ServerProbeResult probeResultFor(const boost::system::error_code& code)
{
    return code == asio::error::connection_refused ? ServerProbeResult::Refused : ServerProbeResult::TimedOut;
}

} // namespace

asio::awaitable<ServerProbeResult> probeServer(Endpoint endpoint, std::string path, std::chrono::milliseconds timeout)
{
    boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    boost::system::error_code code;
    const asio::ip::tcp::endpoint server(asio::ip::address_v4(endpoint.address), endpoint.port);
    co_await stream.async_connect(server, asio::redirect_error(asio::use_awaitable, code));
    if (code)
        co_return probeResultFor(code);
    http::request<http::empty_body> request(http::verb::get, path, 11);
    request.set(http::field::host, format(endpoint));
    request.keep_alive(false);
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, code));
    if (code)
        co_return probeResultFor(code);
    boost::beast::flat_buffer buffer(maximumResponseBytes);
    http::response_parser<http::string_body> parser;
    parser.body_limit(maximumResponseBytes);
    co_await http::async_read_header(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, code));
    if (code)
        co_return probeResultFor(code);
    const auto status = http::to_status_class(parser.get().result());
    co_return status == http::status_class::successful ? ServerProbeResult::Healthy : ServerProbeResult::Unhealthy;
}

} // namespace clementinesill::agent

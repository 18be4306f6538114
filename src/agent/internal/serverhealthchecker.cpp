#include "agent/internal/serverhealthchecker.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
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
// Intervals vary by up to 1/5 in either direction, so that the probes of agents started together spread out.
constexpr std::uint64_t jitterDivisor = 5;

ServerProbeResult probeResultFor(const boost::system::error_code& code)
{
    return code == asio::error::connection_refused ? ServerProbeResult::Refused : ServerProbeResult::TimedOut;
}

} // namespace

ServerHealthChecker::ServerHealthChecker(asio::io_context& loop, const ServerHealthCheckerOptions& options, IRandom& random, Handler handler)
    : m_loop(loop)
    , m_options(options)
    , m_random(random)
    , m_handler(std::move(handler))
{
}

asio::awaitable<void> ServerHealthChecker::run()
{
    asio::steady_timer timer(m_loop);
    while (true) {
        m_handler(m_health.observe(co_await probe()));
        timer.expires_after(nextInterval());
        co_await timer.async_wait(asio::use_awaitable);
    }
}

std::chrono::milliseconds ServerHealthChecker::nextInterval()
{
    const auto interval = static_cast<std::uint64_t>(m_options.interval.count());
    const auto jitter = interval / jitterDivisor;
    return std::chrono::milliseconds(interval - jitter + m_random.below(2 * jitter + 1));
}

asio::awaitable<ServerProbeResult> ServerHealthChecker::probe()
{
    boost::beast::tcp_stream stream(m_loop);
    stream.expires_after(m_options.timeout);
    boost::system::error_code code;
    const asio::ip::tcp::endpoint server(asio::ip::address_v4(m_options.server.address), m_options.server.port);
    co_await stream.async_connect(server, asio::redirect_error(asio::use_awaitable, code));
    if (code)
        co_return probeResultFor(code);
    http::request<http::empty_body> request(http::verb::get, m_options.healthPath, 11);
    request.set(http::field::host, format(m_options.server));
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

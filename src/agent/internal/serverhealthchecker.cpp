#include "agent/internal/serverhealthchecker.h"

#include "agent/serverprobe.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace clementinesill::agent {

namespace asio = boost::asio;

namespace {

// Intervals vary by up to 1/5 in either direction, so that the probes of agents started together spread out.
constexpr std::uint64_t jitterDivisor = 5;

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
        m_handler(m_health.observe(co_await probeServer(m_options.server, m_options.healthPath, m_options.timeout)));
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

} // namespace clementinesill::agent

#include "requests/internal/callerconnection.h"

#include "foundation/log.h"
#include "foundation/metrics.h"
#include "net/ibytestream.h"
#include "requests/internal/requesttask.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace clementinesill::requests {

namespace http = boost::beast::http;

namespace {
// Input buffer beyond the header limit, so that a header of the maximum size fits.
constexpr std::size_t readAheadBytes = std::size_t { 16 } * 1024;
} // namespace

CallerConnection::CallerConnection(ProxyState& proxy, IByteStream& stream, const CallerContext& context)
    : m_proxy(proxy)
    , m_stream(stream)
    , m_context(context)
    , m_input(stream, proxy.executor, proxy.options.limits.headerBytes + readAheadBytes)
    , m_output(stream, proxy.executor, proxy.options.limits.stallTimeout)
{
}

boost::asio::awaitable<void> CallerConnection::run()
{
    boost::asio::co_spawn(m_proxy.executor, m_input.pump(), boost::asio::detached);
    try {
        co_await serveRequests();
    } catch (const std::exception& error) {
        log(LogLevel::Error, "caller_connection_failed", { { "service", m_proxy.options.service }, { "reason", error.what() } });
        m_reader = nullptr;
        // A regular close would end a response without length like a complete one.
        m_output.abort();
    }
    co_await close();
}

boost::asio::awaitable<void> CallerConnection::serveRequests()
{
    auto idleTimeout = m_proxy.options.limits.headerTimeout;
    bool keepAlive = true;
    while (keepAlive) {
        keepAlive = co_await serveRequest(idleTimeout);
        idleTimeout = m_proxy.options.limits.keepAliveTimeout;
        // The response did not announce that the connection is closed, so the caller may have sent its next request.
        if (m_proxy.draining)
            idleTimeout = std::min(idleTimeout, m_proxy.options.drainGracePeriod);
    }
}

boost::asio::awaitable<bool> CallerConnection::serveRequest(Duration idleTimeout)
{
    RequestReader reader(m_input, m_proxy.options.limits);
    m_reader = &reader;
    const auto result = co_await reader.readHeader(idleTimeout);
    if (result != ReadResult::Ok) {
        m_reader = nullptr;
        co_await reject(result);
        co_return false;
    }
    bool keepAlive = false;
    {
        RequestTask task(m_proxy, m_input, m_output, reader, m_context);
        keepAlive = co_await task.run();
    }
    m_reader = nullptr;
    co_return keepAlive;
}

boost::asio::awaitable<void> CallerConnection::reject(ReadResult result)
{
    LocalResponse response { .status = http::status::bad_request, .message = "malformed request; send HTTP/1.1" };
    if (result == ReadResult::Closed || result == ReadResult::Incomplete)
        co_return;
    if (result == ReadResult::TooLarge)
        response = { .status = http::status::request_header_fields_too_large, .message = "header too large; send fewer or shorter fields" };
    if (result == ReadResult::TimedOut)
        response = { .status = http::status::request_timeout, .message = "header not complete in time; send it at once" };
    m_proxy.metrics.counter("request_headers_refused_total", { { "service", m_proxy.options.service } }).fetch_add(1);
    const auto bytes = serialize(response, true, false);
    co_await m_output.write(bytes);
}

// Waits for the caller to close its side first, because an immediate reset could discard the end of a response in
// transit.
boost::asio::awaitable<void> CallerConnection::close()
{
    if (!m_output.failed() && !m_input.reset()) {
        m_stream.shutdownWrite();
        co_await m_input.discard(m_proxy.options.limits.lingerTimeout);
    }
    m_stream.abort();
    co_await m_input.waitForPump();
}

void CallerConnection::drain()
{
    // A request in transit still gets its response.
    m_drainTimer.emplace(m_proxy.executor, m_proxy.options.drainGracePeriod, [this] {
        if (m_reader)
            m_reader->interruptIdle();
    });
}

} // namespace clementinesill::requests

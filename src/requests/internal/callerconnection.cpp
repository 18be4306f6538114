#include "requests/internal/callerconnection.h"

#include "foundation/metrics.h"
#include "net/ibytestream.h"
#include "requests/internal/requesttask.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace clementinesill::requests {

namespace http = boost::beast::http;

namespace {
// Read ahead beyond the header limit, so that a header always fits.
constexpr std::size_t readAheadBytes = std::size_t { 16 } * 1024;
} // namespace

CallerConnection::CallerConnection(GateState& gate, IByteStream& stream, const CallerContext& context)
    : m_gate(gate)
    , m_stream(stream)
    , m_context(context)
    , m_input(stream, gate.executor, gate.options.limits.headerBytes + readAheadBytes)
    , m_output(stream, gate.executor, gate.options.limits.stallTimeout)
{
}

boost::asio::awaitable<void> CallerConnection::run()
{
    boost::asio::co_spawn(m_gate.executor, m_input.pump(), boost::asio::detached);
    co_await serveRequests();
    co_await close();
}

boost::asio::awaitable<void> CallerConnection::serveRequests()
{
    auto idleTimeout = m_gate.options.limits.headerTimeout;
    bool keepAlive = true;
    while (keepAlive) {
        keepAlive = co_await serveRequest(idleTimeout);
        idleTimeout = m_gate.options.limits.keepAliveTimeout;
    }
}

boost::asio::awaitable<bool> CallerConnection::serveRequest(Duration idleTimeout)
{
    RequestReader reader(m_input, m_gate.options.limits);
    m_reader = &reader;
    const auto end = co_await reader.readHeader(idleTimeout);
    if (end != ReadEnd::Ok) {
        m_reader = nullptr;
        co_await refuse(end);
        co_return false;
    }
    bool keepAlive = false;
    {
        RequestTask task(m_gate, m_input, m_output, reader, m_context);
        keepAlive = co_await task.run();
    }
    m_reader = nullptr;
    co_return keepAlive && !m_gate.draining;
}

boost::asio::awaitable<void> CallerConnection::refuse(ReadEnd end)
{
    LocalAnswer answer { .status = http::status::bad_request, .message = "malformed request; send HTTP/1.1" };
    if (end == ReadEnd::Closed || end == ReadEnd::Incomplete)
        co_return;
    if (end == ReadEnd::TooLarge)
        answer = { .status = http::status::request_header_fields_too_large, .message = "header too large; send fewer or shorter fields" };
    if (end == ReadEnd::TimedOut)
        answer = { .status = http::status::request_timeout, .message = "header not complete in time; send it at once" };
    m_gate.metrics.counter("request_headers_refused_total", { { "service", m_gate.options.service } }).fetch_add(1);
    const auto bytes = serialize(answer, true, false);
    co_await m_output.write(bytes);
}

// Waits for the caller's end, as a reset could destroy the last bytes of an answer on their way.
boost::asio::awaitable<void> CallerConnection::close()
{
    if (!m_output.failed() && !m_input.reset()) {
        m_stream.shutdownWrite();
        co_await m_input.discard(m_gate.options.limits.lingerTimeout);
    }
    m_stream.abort();
    co_await m_input.waitForPump();
}

void CallerConnection::drain()
{
    // A request that is on its way still gets its answer.
    m_drainTimer.emplace(m_gate.executor, m_gate.options.drainGrace, [this] {
        if (m_reader)
            m_reader->interruptIdle();
    });
}

} // namespace clementinesill::requests

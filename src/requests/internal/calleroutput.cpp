#include "requests/internal/calleroutput.h"

#include "net/ibytestream.h"
#include "requests/internal/watchdog.h"

#include <span>

namespace clementinesill::requests {

CallerOutput::CallerOutput(IByteStream& stream, boost::asio::any_io_executor executor, Duration stallTimeout)
    : m_stream(stream)
    , m_executor(executor)
    , m_stallTimeout(stallTimeout)
{
}

boost::asio::awaitable<bool> CallerOutput::write(std::string_view bytes)
{
    if (m_failed)
        co_return false;
    const Watchdog watchdog(m_executor, m_stallTimeout, [this] { abort(); });
    try {
        co_await m_stream.write(std::as_bytes(std::span(bytes)));
    } catch (const std::exception&) {
        m_failed = true;
    }
    co_return !m_failed;
}

void CallerOutput::abort()
{
    m_failed = true;
    m_stream.abort();
}

} // namespace clementinesill::requests

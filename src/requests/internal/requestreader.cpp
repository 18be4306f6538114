#include "requests/internal/requestreader.h"

#include <boost/beast/http/error.hpp>

namespace clementinesill::requests {

namespace http = boost::beast::http;

RequestReader::RequestReader(CallerInput& input, const RequestLimits& limits)
    : m_input(input)
    , m_limits(limits)
{
    m_parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    // Bodies are streamed and take no memory.
    m_parser.body_limit(boost::none);
}

boost::asio::awaitable<ReadEnd> RequestReader::waitForFirstByte(Duration idleTimeout)
{
    while (m_input.buffer().size() == 0) {
        if (m_input.ended() || m_idleInterrupted)
            co_return ReadEnd::Closed;
        const auto arrived = co_await m_input.waitForMore(idleTimeout);
        if (!arrived)
            co_return ReadEnd::Closed;
    }
    co_return ReadEnd::Ok;
}

boost::asio::awaitable<ReadEnd> RequestReader::readHeader(Duration idleTimeout)
{
    const auto first = co_await waitForFirstByte(idleTimeout);
    if (first != ReadEnd::Ok)
        co_return first;
    const auto deadline = std::chrono::steady_clock::now() + m_limits.headerTimeout;
    while (true) {
        boost::beast::error_code error;
        const auto used = m_parser.put(m_input.buffer().data(), error);
        m_input.consume(used);
        if (m_parser.is_header_done())
            co_return ReadEnd::Ok;
        if (error == http::error::header_limit)
            co_return ReadEnd::TooLarge;
        if (error && error != http::error::need_more)
            co_return ReadEnd::Malformed;
        if (m_input.ended())
            co_return ReadEnd::Incomplete;
        const auto left = deadline - std::chrono::steady_clock::now();
        if (left <= Duration::zero())
            co_return ReadEnd::TimedOut;
        const auto arrived = co_await m_input.waitForMore(left);
        if (!arrived)
            co_return ReadEnd::TimedOut;
    }
}

boost::asio::awaitable<ReadEnd> RequestReader::readBody(std::span<char> buffer, std::size_t& size)
{
    size = 0;
    while (!m_parser.is_done()) {
        if (m_bodyInterrupted)
            co_return ReadEnd::Interrupted;
        if (m_input.buffer().size() > 0) {
            auto& body = m_parser.get().body();
            body.data = buffer.data();
            body.size = buffer.size();
            boost::beast::error_code error;
            const auto used = m_parser.put(m_input.buffer().data(), error);
            m_input.consume(used);
            size = buffer.size() - body.size;
            if (size > 0)
                co_return ReadEnd::Ok;
            if (error && error != http::error::need_more && error != http::error::need_buffer)
                co_return ReadEnd::Malformed;
            if (used > 0 || m_parser.is_done())
                continue;
        }
        if (m_input.ended())
            co_return ReadEnd::Incomplete;
        const auto arrived = co_await m_input.waitForMore(m_limits.stallTimeout);
        if (!arrived)
            co_return ReadEnd::TimedOut;
    }
    co_return ReadEnd::Ok;
}

void RequestReader::interruptIdle()
{
    m_idleInterrupted = true;
    m_input.wake();
}

void RequestReader::interruptBody()
{
    m_bodyInterrupted = true;
    m_input.wake();
}

} // namespace clementinesill::requests

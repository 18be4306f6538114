#include "requests/internal/requestreader.h"

#include <boost/beast/http/error.hpp>

namespace clementinesill::requests {

namespace http = boost::beast::http;

RequestReader::RequestReader(CallerInput& input, const RequestLimits& limits)
    : m_input(input)
    , m_limits(limits)
{
    m_parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    // No limit is needed: bodies are streamed, not buffered.
    m_parser.body_limit(boost::none);
}

boost::asio::awaitable<ReadResult> RequestReader::waitForFirstByte(Duration idleTimeout)
{
    while (m_input.buffer().size() == 0) {
        if (m_input.ended() || m_idleInterrupted)
            co_return ReadResult::Closed;
        const auto arrived = co_await m_input.waitForMore(idleTimeout);
        if (!arrived)
            co_return ReadResult::Closed;
    }
    co_return ReadResult::Ok;
}

boost::asio::awaitable<ReadResult> RequestReader::readHeader(Duration idleTimeout)
{
    const auto first = co_await waitForFirstByte(idleTimeout);
    if (first != ReadResult::Ok)
        co_return first;
    const auto deadline = std::chrono::steady_clock::now() + m_limits.headerTimeout;
    while (true) {
        boost::beast::error_code error;
        const auto used = m_parser.put(m_input.buffer().data(), error);
        m_input.consume(used);
        if (m_parser.is_header_done())
            co_return ReadResult::Ok;
        if (error == http::error::header_limit)
            co_return ReadResult::TooLarge;
        if (error && error != http::error::need_more)
            co_return ReadResult::Malformed;
        if (m_input.ended())
            co_return ReadResult::Incomplete;
        const auto left = deadline - std::chrono::steady_clock::now();
        if (left <= Duration::zero())
            co_return ReadResult::TimedOut;
        const auto arrived = co_await m_input.waitForMore(left);
        if (!arrived)
            co_return ReadResult::TimedOut;
    }
}

boost::asio::awaitable<ReadResult> RequestReader::readBody(std::span<char> buffer, std::size_t& size)
{
    size = 0;
    while (!m_parser.is_done()) {
        if (m_bodyInterrupted)
            co_return ReadResult::Interrupted;
        if (m_input.buffer().size() > 0) {
            auto& body = m_parser.get().body();
            body.data = buffer.data();
            body.size = buffer.size();
            boost::beast::error_code error;
            const auto used = m_parser.put(m_input.buffer().data(), error);
            m_input.consume(used);
            size = buffer.size() - body.size;
            if (size > 0)
                co_return ReadResult::Ok;
            if (error && error != http::error::need_more && error != http::error::need_buffer)
                co_return ReadResult::Malformed;
            if (used > 0 || m_parser.is_done())
                continue;
        }
        if (m_input.ended())
            co_return ReadResult::Incomplete;
        const auto arrived = co_await m_input.waitForMore(m_limits.stallTimeout);
        if (!arrived)
            co_return ReadResult::TimedOut;
    }
    co_return ReadResult::Ok;
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

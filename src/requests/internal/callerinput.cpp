#include "requests/internal/callerinput.h"

#include "foundation/error.h"
#include "net/ibytestream.h"

#include <array>

namespace clementinesill::requests {

namespace {
constexpr std::size_t readChunkBytes = std::size_t { 16 } * 1024;
}

CallerInput::CallerInput(IByteStream& stream, boost::asio::any_io_executor executor, std::size_t capacity)
    : m_stream(stream)
    , m_capacity(capacity)
    , m_arrived(executor)
    , m_space(executor)
    , m_pumpEnded(executor)
{
}

boost::asio::awaitable<void> CallerInput::pump()
{
    try {
        co_await readAll();
    } catch (const std::exception&) {
        m_reset = true;
    }
    finish();
}

boost::asio::awaitable<void> CallerInput::readAll()
{
    std::array<std::byte, readChunkBytes> chunk;
    while (true) {
        while (m_buffer.size() >= m_capacity && !m_discarding)
            co_await m_space.wait();
        const auto size = co_await m_stream.readSome(chunk);
        if (size == 0)
            co_return;
        if (m_discarding)
            continue;
        const auto target = m_buffer.prepare(size);
        boost::asio::buffer_copy(target, boost::asio::buffer(chunk.data(), size));
        m_buffer.commit(size);
        wake();
    }
}

void CallerInput::finish()
{
    m_ended = true;
    m_pumping = false;
    wake();
    m_pumpEnded.notify();
    if (m_endHandler)
        m_endHandler();
}

void CallerInput::consume(std::size_t size)
{
    m_buffer.consume(size);
    m_space.notify();
}

boost::asio::awaitable<bool> CallerInput::waitForMore(Duration timeout)
{
    if (m_ended)
        co_return true;
    m_woken = false;
    co_await m_arrived.wait(timeout);
    co_return m_woken;
}

void CallerInput::wake()
{
    m_woken = true;
    m_arrived.notify();
}

boost::asio::awaitable<void> CallerInput::discard(Duration timeout)
{
    m_discarding = true;
    m_buffer.clear();
    m_space.notify();
    if (m_pumping)
        co_await m_pumpEnded.wait(timeout);
}

boost::asio::awaitable<void> CallerInput::waitForPump()
{
    m_discarding = true;
    m_space.notify();
    while (m_pumping)
        co_await m_pumpEnded.wait();
}

} // namespace clementinesill::requests

#pragma once

#include "requests/internal/signal.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <functional>

namespace clementinesill {
class IByteStream;
}

namespace clementinesill::requests {

// Reads ahead of one caller into a bounded buffer, so that its end is seen while a request is in progress.
//
// One task at a time waits for bytes.
class CallerInput {
public:
    // capacity: bytes read ahead at most, give or take one read.
    CallerInput(IByteStream& stream, boost::asio::any_io_executor executor, std::size_t capacity);

    // Reads until the caller's end or reset.
    boost::asio::awaitable<void> pump();

    boost::beast::flat_buffer& buffer() { return m_buffer; }
    void consume(std::size_t size);

    // Returns whether something happened within the timeout: bytes, the caller's end, or wake.
    boost::asio::awaitable<bool> waitForMore(Duration timeout);

    // Lets the waiting task check its condition.
    void wake();

    // The caller sent its last byte, or its connection was reset.
    bool ended() const { return m_ended; }
    bool reset() const { return m_reset; }

    // Called once at the caller's end; an empty function takes it back.
    void setEndHandler(std::function<void()> handler) { m_endHandler = std::move(handler); }

    // Drops what arrives until the caller's end or the timeout.
    boost::asio::awaitable<void> discard(Duration timeout);

    // Returns once pump has ended.
    boost::asio::awaitable<void> waitForPump();

private:
    boost::asio::awaitable<void> readAll();
    void finish();

    IByteStream& m_stream;
    std::size_t m_capacity;
    boost::beast::flat_buffer m_buffer;
    Signal m_arrived;
    Signal m_space;
    Signal m_pumpEnd;
    std::function<void()> m_endHandler;
    bool m_discarding = false;
    bool m_woken = false;
    bool m_ended = false;
    bool m_reset = false;
    bool m_pumping = true;
};

} // namespace clementinesill::requests

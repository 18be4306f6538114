#pragma once

#include "requests/internal/signal.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <functional>

namespace clementinesill {
class IByteStream;
}

namespace clementinesill::requests {

// Reads ahead from one caller into a bounded buffer, so that a disconnect is detected while a request is in progress.
//
// Only one coroutine at a time may wait for bytes.
class CallerInput {
public:
    // capacity: maximum read-ahead in bytes, exceeded by at most one read.
    CallerInput(IByteStream& stream, boost::asio::any_io_executor executor, std::size_t capacity);

    // Reads until end of stream or reset.
    boost::asio::awaitable<void> pump();

    boost::beast::flat_buffer& buffer() { return m_buffer; }
    void consume(std::size_t size);

    // Waits for bytes, end of stream, reset or wake; returns false on timeout.
    boost::asio::awaitable<bool> waitForMore(Duration timeout);

    // Resumes the waiting coroutine.
    void wake();

    // Whether the caller closed its side, or its connection was reset.
    bool ended() const { return m_ended; }
    bool reset() const { return m_reset; }

    // Sets the handler to call once at end of stream or reset; an empty function removes it.
    void setEndHandler(std::function<void()> handler) { m_endHandler = std::move(handler); }

    // Discards input until end of stream, reset or timeout.
    boost::asio::awaitable<void> discard(Duration timeout);

    // Waits until pump has returned.
    boost::asio::awaitable<void> waitForPump();

private:
    boost::asio::awaitable<void> readAll();
    void finish();

    IByteStream& m_stream;
    std::size_t m_capacity;
    boost::beast::flat_buffer m_buffer;
    Signal m_arrived;
    Signal m_space;
    Signal m_pumpEnded;
    std::function<void()> m_endHandler;
    bool m_discarding = false;
    bool m_woken = false;
    bool m_ended = false;
    bool m_reset = false;
    bool m_pumping = true;
};

} // namespace clementinesill::requests

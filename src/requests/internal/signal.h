#pragma once

#include "foundation/iclock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace clementinesill::requests {

// Resumes one waiting coroutine of the same thread. A notification without a waiter is lost, so waiters must check their
// condition before and after waiting.
class Signal {
public:
    explicit Signal(boost::asio::any_io_executor executor)
        : m_timer(executor)
    {
    }

    // Returns after notify or the timeout, whichever comes first.
    boost::asio::awaitable<void> wait(Duration timeout)
    {
        m_timer.expires_after(timeout);
        co_await m_timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }

    boost::asio::awaitable<void> wait()
    {
        m_timer.expires_at(MonotonicTime::max());
        co_await m_timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }

    void notify() { m_timer.cancel(); }

private:
    boost::asio::steady_timer m_timer;
};

} // namespace clementinesill::requests

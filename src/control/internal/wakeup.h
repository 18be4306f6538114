#pragma once

#include "foundation/iclock.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace clementinesill::control {

// Lets one coroutine wait until another one on the same thread wakes it.
class Wakeup {
public:
    explicit Wakeup(boost::asio::io_context& context)
        : m_timer(context)
    {
    }

    // Ends the current wait, or the next one if none is in progress.
    void wake()
    {
        m_woken = true;
        m_timer.cancel();
    }

    // Waits until wake() or until the duration has passed; true if it was woken.
    boost::asio::awaitable<bool> wait(boost::asio::steady_timer::duration duration)
    {
        if (!m_woken) {
            m_timer.expires_after(duration);
            co_await m_timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        const bool woken = m_woken;
        m_woken = false;
        co_return woken;
    }

    // Like wait(), until the given time on the clock. Waits at least 2 ms, so that a passed deadline that is not acted on does
    // not cause a busy loop.
    boost::asio::awaitable<bool> waitUntil(MonotonicTime due, const IClock& clock)
    {
        constexpr Duration minWait = std::chrono::milliseconds(2);
        constexpr Duration maxWait = std::chrono::hours(1);
        const auto now = clock.now();
        return wait(due >= now + maxWait ? maxWait : std::max(minWait, due - std::min(due, now)));
    }

private:
    boost::asio::steady_timer m_timer;
    bool m_woken = false;
};

} // namespace clementinesill::control

#pragma once

#include "foundation/iclock.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace clementinesill::control {

// Something that a coroutine waits for and that another one, on the same thread, lets it know of.
class Wakeup {
public:
    explicit Wakeup(boost::asio::io_context& context)
        : m_timer(context)
    {
    }

    // Ends the wait in progress, or else the next one.
    void wake()
    {
        m_woken = true;
        m_timer.cancel();
    }

    // Waits until wake() or until the time is over; true if it was woken.
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

    // As wait, until the time given on the clock; at least for a moment, so that a deadline that has come and is not
    // acted upon keeps no thread busy.
    boost::asio::awaitable<bool> waitUntil(MonotonicTime due, const IClock& clock)
    {
        constexpr Duration shortest = std::chrono::milliseconds(2);
        constexpr Duration longest = std::chrono::hours(1);
        const auto now = clock.now();
        return wait(due >= now + longest ? longest : std::max(shortest, due - std::min(due, now)));
    }

private:
    boost::asio::steady_timer m_timer;
    bool m_woken = false;
};

} // namespace clementinesill::control

#pragma once

#include "foundation/iclock.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace clementinesill::requests {

// Calls an action once after a timeout unless it is destroyed or disarmed before.
class Watchdog {
public:
    Watchdog(boost::asio::any_io_executor executor, Duration timeout, std::function<void()> action)
        : m_timer(executor, timeout)
        , m_armed(std::make_shared<bool>(true))
    {
        // The flag outlives the watchdog, because an expired timer's handler may already be queued.
        m_timer.async_wait([armed = m_armed, action = std::move(action)](boost::system::error_code error) {
            if (!error && *armed)
                action();
        });
    }

    ~Watchdog() { disarm(); }
    Watchdog(const Watchdog&) = delete;
    Watchdog& operator=(const Watchdog&) = delete;

    void disarm()
    {
        *m_armed = false;
        m_timer.cancel();
    }

private:
    boost::asio::steady_timer m_timer;
    std::shared_ptr<bool> m_armed;
};

} // namespace clementinesill::requests

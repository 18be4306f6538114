#pragma once

#include "agent/internal/serverhealthcheckeroptions.h"
#include "agent/serverhealth.h"
#include "foundation/irandom.h"
#include "foundation/types/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <string>

namespace clementinesill::agent {

// Probes the backend server's health endpoint at jittered intervals until the event loop stops.
class ServerHealthChecker {
public:
    using Handler = std::function<void(const HealthChange&)>;

    // random must outlive the checker. The handler is called on the loop after each probe and each refused connection.
    ServerHealthChecker(boost::asio::io_context& loop, const ServerHealthCheckerOptions& options, IRandom& random, Handler handler);

    boost::asio::awaitable<void> run();

    // Records that the server refused a flow's or request's connection. Must be called on the loop.
    void recordConnectionRefused() { m_handler(m_health.recordConnectionRefused()); }

    bool healthy() const { return m_health.healthy(); }

private:
    std::chrono::milliseconds nextInterval();

    boost::asio::io_context& m_loop;
    ServerHealthCheckerOptions m_options;
    IRandom& m_random;
    Handler m_handler;
    ServerHealth m_health;
};

} // namespace clementinesill::agent

#pragma once

#include "agent/internal/serverwatchoptions.h"
#include "agent/serverhealth.h"
#include "foundation/irandom.h"
#include "foundation/types/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <string>

namespace clementinesill::agent {

// Probes the health endpoint until the loop ends, at jittered intervals.
class ServerWatch {
public:
    using Handler = std::function<void(const HealthChange&)>;

    // random must outlive the watch; the handler is called on the loop.
    ServerWatch(boost::asio::io_context& loop, const ServerWatchOptions& options, IRandom& random, Handler handler);

    boost::asio::awaitable<void> run();

    // A flow's or request's connection was refused.
    void noteRefused() { m_handler(m_health.noteRefused()); }

    bool healthy() const { return m_health.healthy(); }

private:
    boost::asio::awaitable<ServerProbe> probe();
    std::chrono::milliseconds nextInterval();

    boost::asio::io_context& m_loop;
    ServerWatchOptions m_options;
    IRandom& m_random;
    Handler m_handler;
    ServerHealth m_health;
};

} // namespace clementinesill::agent

#pragma once

#include "foundation/iclock.h"
#include "passthrough/types/serverheartbeat.h"

#include <functional>
#include <optional>

namespace clementinesill::passthrough {

// How a heartbeat changed the state of the server.
enum class HeartbeatResult {
    Unchanged,
    // The server was restarted or replaced; it holds none of the earlier flows.
    NewInstance,
    DrainStarted,
    DrainEnded,
    // Sent by an instance that a newer one has replaced, or received after a later heartbeat.
    Stale,
};

// State of the server on this agent's VM, derived from its heartbeats and packets. Must only be used on the agent's event loop.
class LocalServer {
public:
    // heartbeatInterval is the time between two heartbeats.
    LocalServer(const IClock& clock, Duration heartbeatInterval)
        : m_clock(clock)
        , m_heartbeatInterval(heartbeatInterval)
    {
    }

    HeartbeatResult applyHeartbeat(const ServerHeartbeat& heartbeat);

    // Called when the table has a server on this VM that has sent nothing since this agent started.
    void expectHeartbeat();

    // Called when the server reports its shutdown. Returns false if name is not that of the current server.
    bool markShutDown(const std::string& name);

    // Called when a packet from the server arrives.
    void recordServerActivity() { m_lastActivity = m_clock.now(); }

    // Called for each packet and at least once per heartbeat interval. A long gap between calls means that the agent itself
    // was frozen or suspended; that time does not count as silence of the server.
    void recordAgentActivity();

    // Whether neither heartbeats nor packets arrive, so that the server is dead or stuck.
    bool silent() const { return (m_heartbeat || m_heartbeatExpected) && m_clock.now() - m_lastActivity > maximumMissedHeartbeats * m_heartbeatInterval; }

    // Whether the server has reported its shutdown, or has missed so many heartbeats that it is presumed to have ended; checked
    // when the agent shuts down. An agent that is stopped before the first heartbeat cannot tell from heartbeats, so it calls
    // refusesConnections, which returns whether the server's port is closed: a running server accepts connections for its
    // health check.
    bool presumedEnded(const std::function<bool()>& refusesConnections) const;

    bool hasHeartbeat() const { return m_heartbeat.has_value(); }
    bool draining() const { return m_heartbeat && m_heartbeat->draining; }
    bool hasShutDown() const { return m_shutDown; }

private:
    // Consecutive heartbeats that a live server may miss.
    static constexpr int maximumMissedHeartbeats = 3;

    // Heartbeat intervals without a heartbeat after which a server is presumed to have ended: one that has sent heartbeats to
    // this agent, and one that has sent none.
    static constexpr double presumedEndedIntervals = 2.5;
    static constexpr double presumedEndedIntervalsBeforeFirst = 1.5;

    bool isOlderInstance(const ServerHeartbeat& heartbeat) const;
    bool isSameInstance(const ServerHeartbeat& heartbeat) const;

    const IClock& m_clock;
    Duration m_heartbeatInterval;
    std::optional<ServerHeartbeat> m_heartbeat;
    MonotonicTime m_lastActivity;
    // Time of the last heartbeat, or since when the first one is expected; packets do not count.
    MonotonicTime m_lastHeartbeat;
    MonotonicTime m_lastAgentActivity;
    bool m_shutDown = false;
    bool m_heartbeatExpected = false;
};

} // namespace clementinesill::passthrough

#pragma once

#include "foundation/iclock.h"
#include "passthrough/types/serverheartbeat.h"

#include <deque>
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
    // Sent by an instance that another one has replaced, or received after a later heartbeat.
    Stale,
    // Sent by an instance that was not heard before. Whether it runs, or has ended and its heartbeat was delayed, is not known yet.
    Unverified,
};

// State of the server on this agent's VM, derived from its heartbeats and packets. Must only be used on the agent's event loop.
//
// The start times that instances report come from a clock that may jump, so their order does not tell which instance runs. An
// instance other than the current one is accepted at its first heartbeat only if that is clearly a new start, and otherwise once
// it keeps sending heartbeats while the current one sends none: a delayed heartbeat has no successor.
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
    void expectHeartbeat(const std::string& name, bool draining);

    // Called when the server reports its shutdown. Returns false if no instance with this name is known.
    bool markShutDown(const std::string& name);

    // Called when a packet from the server arrives.
    void recordServerActivity() { m_lastActivity = m_clock.now(); }

    // Called for each packet and at least once per heartbeat interval. A long gap between calls means that the agent itself
    // was frozen or suspended; that time does not count as silence of the server.
    void recordAgentActivity();

    // Whether neither heartbeats nor packets arrive, so that the server is dead or stuck.
    bool silent() const { return (m_heartbeat || m_expected) && m_clock.now() - m_lastActivity > maximumMissedHeartbeats * m_heartbeatInterval; }

    // Whether the server has reported its shutdown, or has missed so many heartbeats that it is presumed to have ended; checked
    // when the agent shuts down. An agent that is stopped before the first heartbeat cannot tell from heartbeats, so it calls
    // refusesConnections, which returns whether the server's port is closed: a running server accepts connections for its
    // health check.
    bool presumedEnded(const std::function<bool()>& refusesConnections) const;

    bool hasHeartbeat() const { return m_heartbeat.has_value(); }
    // Whether the current instance sent the heartbeat.
    bool isCurrent(const ServerHeartbeat& heartbeat) const;
    // Last heartbeat of the current instance; empty before the first one.
    const std::optional<ServerHeartbeat>& lastHeartbeat() const { return m_heartbeat; }
    bool draining() const { return m_heartbeat ? m_heartbeat->draining : m_expected && m_expected->draining; }
    bool hasShutDown() const { return m_shutDown; }

    // Whether the current instance has sent more than one heartbeat, some time apart, so that it runs or ran until recently.
    bool verified() const { return m_verified; }

private:
    // Consecutive heartbeats that a live server may miss.
    static constexpr int maximumMissedHeartbeats = 3;

    // Heartbeat intervals without a heartbeat after which a server is presumed to have ended: one that has sent heartbeats to
    // this agent, and one that has sent none.
    static constexpr double presumedEndedIntervals = 2.5;
    static constexpr double presumedEndedIntervalsBeforeFirst = 1.5;

    // Heartbeat intervals between two heartbeats that show that an instance runs, and without a heartbeat after which the current
    // instance may have ended. A delayed heartbeat may arrive together with others.
    static constexpr double verificationIntervals = 0.5;
    static constexpr double missedHeartbeatIntervals = 1.25;

    // Instances kept that were replaced by others.
    static constexpr std::size_t replacedInstanceLimit = 16;

    struct Candidate {
        ServerHeartbeat heartbeat;
        MonotonicTime firstHeartbeat;
    };

    struct ExpectedServer {
        std::string name;
        bool draining = false;
    };

    HeartbeatResult updateCurrent(const ServerHeartbeat& heartbeat);
    void startInstance(const ServerHeartbeat& heartbeat, bool verified);
    bool startsNewInstance(const ServerHeartbeat& heartbeat) const;
    bool verifyCandidate(const ServerHeartbeat& heartbeat);
    bool wasReplaced(const ServerHeartbeat& heartbeat) const;

    const IClock& m_clock;
    Duration m_heartbeatInterval;
    std::optional<ServerHeartbeat> m_heartbeat;
    // When the first heartbeat of the current instance arrived.
    MonotonicTime m_instanceStart;
    bool m_verified = false;
    // Another instance whose heartbeats arrived last.
    std::optional<Candidate> m_candidate;
    // Last heartbeats of earlier instances, oldest first.
    std::deque<ServerHeartbeat> m_replaced;
    MonotonicTime m_lastActivity;
    // Time of the last heartbeat, or since when the first one is expected; packets do not count.
    MonotonicTime m_lastHeartbeat;
    MonotonicTime m_lastAgentActivity;
    bool m_shutDown = false;
    // The server that the table has on this VM, until the first heartbeat.
    std::optional<ExpectedServer> m_expected;
};

} // namespace clementinesill::passthrough

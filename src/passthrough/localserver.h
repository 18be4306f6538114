#pragma once

#include "foundation/iclock.h"
#include "passthrough/heartbeatseries.h"
#include "passthrough/types/serverheartbeat.h"

#include <deque>
#include <functional>
#include <optional>

namespace clementinesill::passthrough {

// How a heartbeat changed the state of the server.
enum class HeartbeatResult {
    Unchanged,
    // The server was restarted or replaced, or no longer drains; whether it holds earlier flows is not known.
    NewInstance,
    DrainStarted,
    // Sent by an instance that another one has replaced, or received after a later heartbeat.
    Stale,
    // Whether its sender runs, or has ended and the heartbeat was delayed, is not known yet.
    Unverified,
};

// State of the server on this agent's VM, derived from its heartbeats and packets. Must only be used on the agent's event loop.
//
// The start times that instances report come from a clock that may jump, so their order does not tell which instance runs. An
// instance other than the current one is accepted at its first heartbeat only if that is clearly a new start, and otherwise once
// it keeps sending heartbeats while the current one sends none: a delayed heartbeat has no successor.
//
// While the server is closed, no instance is accepted that would open it, until its port shows that the process which closed it has
// ended, or a series of its heartbeats shows that it runs and the process that serves says that it does not drain. This holds for
// all start times, sequences and names, because a delayed heartbeat may have any.
class LocalServer {
public:
    // heartbeatInterval is the time between two heartbeats.
    LocalServer(const IClock& clock, Duration heartbeatInterval)
        : m_clock(clock)
        , m_heartbeatInterval(heartbeatInterval)
        , m_candidate(heartbeatInterval)
    {
    }

    HeartbeatResult applyHeartbeat(const ServerHeartbeat& heartbeat);

    // Called when the agent starts: an earlier agent may have acknowledged a drain that only the table records. Until
    // setTableKnown() is called, the server is closed.
    void awaitTable() { m_awaitsTable = true; }
    void setTableKnown() { m_awaitsTable = false; }

    // Called when the table has a server on this VM that has sent nothing since this agent started.
    void expectHeartbeat(const std::string& name, bool draining);

    // Called when the server reports its shutdown. Returns false if no instance with this name is known.
    bool markShutDown(const std::string& name);

    // Whether no new flow may reach the server: it drains or has shut down, or that is not known yet.
    bool closed() const { return closedByReport() || (m_awaitsTable && !m_heartbeat); }

    // Called with whether the server's port accepts connections. After the server has reported that it drains or shuts down, a
    // port that refuses connections and later accepts them again belongs to another process.
    void recordPortState(bool acceptsConnections);

    // Whether the port should be checked periodically, so that the end of the process is not missed.
    bool awaitsProcessEnd() const { return closedByReport() && !m_processEnded; }

    // Whether recordPortState() should be called now, since the process may have ended and another one have sent the last
    // heartbeat; or recordHealth(), since another instance keeps sending heartbeats.
    bool awaitsNextProcess() const { return closedByReport() && m_processEnded && candidateOpensServer(); }
    bool awaitsHealth() const { return candidateOpensServer() && candidateKeepsSending(); }

    // Called with whether the server answers that it is healthy and does not drain.
    void recordHealth(bool healthy) { m_healthy = healthy && awaitsHealth(); }

    // The last heartbeat that was not applied, if a check has shown since that its sender may serve; applyHeartbeat() accepts it
    // then. Empty otherwise.
    std::optional<ServerHeartbeat> confirmedHeartbeat() const { return candidateOpensServer() && mayOpen() ? m_candidate.last() : std::nullopt; }

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

    // Whether the current instance has sent more than one heartbeat, some time apart, and no other instance one in between, so
    // that it runs or ran until recently.
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

    // What opens a healthy server without evidence that the process has ended: this many heartbeats of one instance in a row, and
    // this many heartbeat intervals in which none closed it.
    static constexpr int openingHeartbeats = 5;
    static constexpr double openingIntervals = 6;

    // Instances kept that were replaced by others.
    static constexpr std::size_t replacedInstanceLimit = 16;

    struct ExpectedServer {
        std::string name;
        bool draining = false;
    };

    bool closedByReport() const { return draining() || m_shutDown; }
    void recordClosing();
    bool mayRunAs(const std::string& name) const;
    bool opensServer(const ServerHeartbeat& heartbeat) const;
    bool mayOpen() const { return m_processReplaced || m_healthy; }
    bool candidateOpensServer() const;
    bool candidateKeepsSending() const;
    HeartbeatResult updateCurrent(const ServerHeartbeat& heartbeat);
    HeartbeatResult applyOther(const ServerHeartbeat& heartbeat);
    HeartbeatResult notApplied(const ServerHeartbeat& heartbeat) const;
    void startInstance(const ServerHeartbeat& heartbeat, bool verified);
    bool startsNewInstance(const ServerHeartbeat& heartbeat) const;
    bool candidateRuns() const;
    bool wasReplaced(const ServerHeartbeat& heartbeat) const;

    const IClock& m_clock;
    Duration m_heartbeatInterval;
    std::optional<ServerHeartbeat> m_heartbeat;
    // When the first heartbeat of the current instance, or the last one that was not applied, arrived.
    MonotonicTime m_undisputedSince;
    bool m_verified = false;
    // The instance whose heartbeats were not applied last.
    HeartbeatSeries m_candidate;
    // Last heartbeats of earlier instances, oldest first.
    std::deque<ServerHeartbeat> m_replaced;
    MonotonicTime m_lastActivity;
    // Time of the last heartbeat, or since when the first one is expected; packets do not count.
    MonotonicTime m_lastHeartbeat;
    // When a heartbeat or the table last said that the server is closed.
    MonotonicTime m_lastClosed;
    MonotonicTime m_lastAgentActivity;
    bool m_shutDown = false;
    bool m_awaitsTable = false;
    // Since the server was closed, its port has refused connections, and has accepted them again.
    bool m_processEnded = false;
    bool m_processReplaced = false;
    // The server answered that it does not drain, after the candidate's last heartbeat.
    bool m_healthy = false;
    // The server that the table has on this VM, until the first heartbeat.
    std::optional<ExpectedServer> m_expected;
};

} // namespace clementinesill::passthrough

#pragma once

#include "foundation/iclock.h"
#include "passthrough/types/serverbeat.h"

#include <optional>

namespace clementinesill::passthrough {

// What a heartbeat changed.
enum class BeatChange {
    None,
    // Another start of the server, or another server: nothing of before is held.
    NewStart,
    DrainStarted,
    DrainEnded,
    // Sent by a start that a newer one has replaced, or overtaken by a later heartbeat.
    Outdated,
};

// The server beside this agent, by its heartbeats. Confined to the agent's loop.
class LocalServer {
public:
    // heartbeat is the time between two heartbeats.
    LocalServer(const IClock& clock, Duration heartbeat)
        : m_clock(clock)
        , m_heartbeat(heartbeat)
    {
    }

    BeatChange accept(const ServerBeat& beat);

    // The controllers know a server here that this agent has not heard since its own start.
    void expect();

    // The server said that it ends; false if it is not the one that is known.
    bool leave(const std::string& name);

    // The server sent a packet: it lives.
    void noteAlive() { m_lastHeard = m_clock.now(); }

    // The agent runs; called for each packet and at least once a heartbeat. Time in which the agent itself was frozen or
    // suspended does not count as the server's silence.
    void noteRunning();

    // Neither heartbeats nor packets come: the server is dead or stuck.
    bool silent() const { return (m_beat || m_expected) && m_clock.now() - m_lastHeard > silenceBeats * m_heartbeat; }

    // Whether the server, as far as one can tell when the agent is told to stop, has ended before it.
    bool endedBeforeAgent() const;

    bool known() const { return m_beat.has_value(); }
    bool draining() const { return m_beat && m_beat->draining; }
    bool left() const { return m_left; }

private:
    // Heartbeats in a row that a live server may miss.
    static constexpr int silenceBeats = 3;

    // As long as this without a heartbeat, a server that the agent has heard, or never heard, has ended.
    static constexpr double missedBeats = 2.5;
    static constexpr double missedFirstBeats = 1.5;

    bool olderStart(const ServerBeat& beat) const;
    bool sameStart(const ServerBeat& beat) const;

    const IClock& m_clock;
    Duration m_heartbeat;
    std::optional<ServerBeat> m_beat;
    MonotonicTime m_lastHeard;
    // Heartbeats only: the last one, or since when one is expected.
    MonotonicTime m_lastBeat;
    MonotonicTime m_lastRunning;
    bool m_left = false;
    bool m_expected = false;
};

} // namespace clementinesill::passthrough

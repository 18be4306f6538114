#include "passthrough/localserver.h"

#include <algorithm>
#include <utility>

namespace clementinesill::passthrough {

bool LocalServer::sameStart(const ServerBeat& beat) const
{
    return m_beat->name == beat.name && m_beat->startedAtMs == beat.startedAtMs;
}

bool LocalServer::olderStart(const ServerBeat& beat) const
{
    return beat.startedAtMs && m_beat->startedAtMs && beat.startedAtMs < m_beat->startedAtMs;
}

BeatChange LocalServer::accept(const ServerBeat& beat)
{
    if (m_beat && (olderStart(beat) || (sameStart(beat) && (m_left || beat.sequence < m_beat->sequence))))
        return BeatChange::Outdated;
    auto change = BeatChange::None;
    if (!m_beat || !sameStart(beat))
        change = BeatChange::NewStart;
    else if (beat.draining != m_beat->draining)
        change = beat.draining ? BeatChange::DrainStarted : BeatChange::DrainEnded;
    m_beat = beat;
    m_left = false;
    m_lastBeat = m_clock.now();
    noteAlive();
    return change;
}

void LocalServer::expect()
{
    if (m_beat || m_expected)
        return;
    m_expected = true;
    m_lastBeat = m_clock.now();
    noteAlive();
}

bool LocalServer::endedBeforeAgent() const
{
    const auto since = m_clock.now() - m_lastBeat;
    if (m_beat)
        return m_left || since > missedBeats * m_heartbeat;
    return m_expected && since > missedFirstBeats * m_heartbeat;
}

bool LocalServer::leave(const std::string& name)
{
    if (!m_beat || m_beat->name != name)
        return false;
    m_left = true;
    return true;
}

void LocalServer::noteRunning()
{
    const auto now = m_clock.now();
    const auto pause = now - std::exchange(m_lastRunning, now);
    if (pause <= 2 * m_heartbeat)
        return;
    m_lastHeard += std::min(pause, now - m_lastHeard);
    m_lastBeat += std::min(pause, now - m_lastBeat);
}

} // namespace clementinesill::passthrough

#include "passthrough/localserver.h"

#include <algorithm>
#include <utility>

namespace clementinesill::passthrough {

bool LocalServer::isSameInstance(const ServerHeartbeat& heartbeat) const
{
    return m_heartbeat->name == heartbeat.name && m_heartbeat->startedAtMs == heartbeat.startedAtMs;
}

bool LocalServer::isOlderInstance(const ServerHeartbeat& heartbeat) const
{
    return heartbeat.startedAtMs && m_heartbeat->startedAtMs && heartbeat.startedAtMs < m_heartbeat->startedAtMs;
}

HeartbeatResult LocalServer::applyHeartbeat(const ServerHeartbeat& heartbeat)
{
    if (m_heartbeat && (isOlderInstance(heartbeat) || (isSameInstance(heartbeat) && (m_shutDown || heartbeat.sequence < m_heartbeat->sequence))))
        return HeartbeatResult::Stale;
    auto result = HeartbeatResult::Unchanged;
    if (!m_heartbeat || !isSameInstance(heartbeat))
        result = HeartbeatResult::NewInstance;
    else if (heartbeat.draining != m_heartbeat->draining)
        result = heartbeat.draining ? HeartbeatResult::DrainStarted : HeartbeatResult::DrainEnded;
    m_heartbeat = heartbeat;
    m_shutDown = false;
    m_lastHeartbeat = m_clock.now();
    recordServerActivity();
    return result;
}

void LocalServer::expectHeartbeat()
{
    if (m_heartbeat || m_heartbeatExpected)
        return;
    m_heartbeatExpected = true;
    m_lastHeartbeat = m_clock.now();
    recordServerActivity();
}

bool LocalServer::presumedEnded(const std::function<bool()>& refusesConnections) const
{
    const auto elapsed = m_clock.now() - m_lastHeartbeat;
    if (m_heartbeat)
        return m_shutDown || elapsed > presumedEndedIntervals * m_heartbeatInterval;
    return m_heartbeatExpected && (elapsed > presumedEndedIntervalsBeforeFirst * m_heartbeatInterval || refusesConnections());
}

bool LocalServer::markShutDown(const std::string& name)
{
    if (!m_heartbeat || m_heartbeat->name != name)
        return false;
    m_shutDown = true;
    return true;
}

void LocalServer::recordAgentActivity()
{
    const auto now = m_clock.now();
    const auto pause = now - std::exchange(m_lastAgentActivity, now);
    if (pause <= 2 * m_heartbeatInterval)
        return;
    m_lastActivity += std::min(pause, now - m_lastActivity);
    m_lastHeartbeat += std::min(pause, now - m_lastHeartbeat);
}

} // namespace clementinesill::passthrough

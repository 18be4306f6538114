#include "passthrough/localserver.h"

#include <algorithm>
#include <utility>

namespace clementinesill::passthrough {

namespace {

// Servers count their heartbeats from 0 or 1.
constexpr std::uint64_t firstSequence = 1;

bool isSameInstance(const ServerHeartbeat& left, const ServerHeartbeat& right)
{
    return left.name == right.name && left.startedAtMs == right.startedAtMs;
}

} // namespace

bool LocalServer::isCurrent(const ServerHeartbeat& heartbeat) const
{
    return m_heartbeat && isSameInstance(*m_heartbeat, heartbeat);
}

HeartbeatResult LocalServer::applyHeartbeat(const ServerHeartbeat& heartbeat)
{
    if (isCurrent(heartbeat) && !m_shutDown && heartbeat.sequence >= m_heartbeat->sequence)
        return updateCurrent(heartbeat);
    const bool isNew = startsNewInstance(heartbeat);
    if (!isNew && !verifyCandidate(heartbeat))
        return isCurrent(heartbeat) || wasReplaced(heartbeat) ? HeartbeatResult::Stale : HeartbeatResult::Unverified;
    startInstance(heartbeat, !isNew);
    return HeartbeatResult::NewInstance;
}

HeartbeatResult LocalServer::updateCurrent(const ServerHeartbeat& heartbeat)
{
    const auto now = m_clock.now();
    if (heartbeat.sequence > m_heartbeat->sequence) {
        m_candidate.reset();
        m_verified = m_verified || now - m_instanceStart >= verificationIntervals * m_heartbeatInterval;
    }
    auto result = HeartbeatResult::Unchanged;
    if (heartbeat.draining != m_heartbeat->draining)
        result = heartbeat.draining ? HeartbeatResult::DrainStarted : HeartbeatResult::DrainEnded;
    m_heartbeat = heartbeat;
    m_lastHeartbeat = now;
    recordServerActivity();
    return result;
}

void LocalServer::startInstance(const ServerHeartbeat& heartbeat, bool verified)
{
    std::erase_if(m_replaced, [&](const auto& replaced) { return isSameInstance(replaced, heartbeat); });
    if (m_heartbeat && !isCurrent(heartbeat))
        m_replaced.push_back(*m_heartbeat);
    if (m_replaced.size() > replacedInstanceLimit)
        m_replaced.pop_front();
    m_candidate.reset();
    m_heartbeat = heartbeat;
    m_shutDown = false;
    m_verified = verified;
    m_instanceStart = m_clock.now();
    m_lastHeartbeat = m_clock.now();
    recordServerActivity();
}

bool LocalServer::wasReplaced(const ServerHeartbeat& heartbeat) const
{
    return std::any_of(m_replaced.begin(), m_replaced.end(), [&](const auto& replaced) { return isSameInstance(replaced, heartbeat); });
}

// Whether the heartbeat is accepted without a second one, so that the restart of a server takes effect at once. A drain that the
// table still has is not ended by a single heartbeat.
bool LocalServer::startsNewInstance(const ServerHeartbeat& heartbeat) const
{
    if (!m_heartbeat)
        return heartbeat.draining || !draining();
    if (isCurrent(heartbeat) || wasReplaced(heartbeat))
        return false;
    if (m_clock.now() - m_lastHeartbeat > presumedEndedIntervals * m_heartbeatInterval)
        return true;
    return heartbeat.sequence <= firstSequence && (m_shutDown || heartbeat.startedAtMs > m_heartbeat->startedAtMs);
}

bool LocalServer::verifyCandidate(const ServerHeartbeat& heartbeat)
{
    const auto now = m_clock.now();
    if (!m_candidate || !isSameInstance(m_candidate->heartbeat, heartbeat)) {
        m_candidate = { .heartbeat = heartbeat, .firstHeartbeat = now };
        return false;
    }
    if (heartbeat.sequence <= m_candidate->heartbeat.sequence)
        return false;
    m_candidate->heartbeat = heartbeat;
    return now - m_candidate->firstHeartbeat >= verificationIntervals * m_heartbeatInterval && now - m_lastHeartbeat > missedHeartbeatIntervals * m_heartbeatInterval;
}

void LocalServer::expectHeartbeat(const std::string& name, bool draining)
{
    if (m_heartbeat)
        return;
    const bool wasExpected = m_expected.has_value();
    m_expected = { .name = name, .draining = draining };
    if (wasExpected)
        return;
    m_lastHeartbeat = m_clock.now();
    recordServerActivity();
}

bool LocalServer::presumedEnded(const std::function<bool()>& refusesConnections) const
{
    const auto elapsed = m_clock.now() - m_lastHeartbeat;
    if (m_shutDown)
        return true;
    if (m_heartbeat)
        return elapsed > presumedEndedIntervals * m_heartbeatInterval;
    return m_expected && (elapsed > presumedEndedIntervalsBeforeFirst * m_heartbeatInterval || refusesConnections());
}

bool LocalServer::markShutDown(const std::string& name)
{
    if (m_candidate && m_candidate->heartbeat.name == name)
        startInstance(ServerHeartbeat(m_candidate->heartbeat), false);
    const bool isKnown = m_heartbeat ? m_heartbeat->name == name : m_expected && m_expected->name == name;
    if (!isKnown)
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
    if (m_candidate)
        m_candidate->firstHeartbeat += std::min(pause, now - m_candidate->firstHeartbeat);
}

} // namespace clementinesill::passthrough

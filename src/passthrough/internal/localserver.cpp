#include "passthrough/localserver.h"

#include <algorithm>
#include <utility>

namespace clementinesill::passthrough {

namespace {

// Servers count their heartbeats from 0 or 1.
constexpr std::uint64_t firstSequence = 1;

} // namespace

bool LocalServer::isCurrent(const ServerHeartbeat& heartbeat) const
{
    return m_heartbeat && m_heartbeat->isSameInstance(heartbeat);
}

HeartbeatResult LocalServer::applyHeartbeat(const ServerHeartbeat& heartbeat)
{
    if (heartbeat.draining && closed()) {
        m_lastClosed = m_clock.now();
        m_healthy = false;
    }
    if (isCurrent(heartbeat) && !m_shutDown && heartbeat.sequence >= m_heartbeat->sequence && !opensServer(heartbeat))
        return updateCurrent(heartbeat);
    return applyOther(heartbeat);
}

HeartbeatResult LocalServer::updateCurrent(const ServerHeartbeat& heartbeat)
{
    const auto now = m_clock.now();
    if (heartbeat.sequence > m_heartbeat->sequence) {
        m_candidate.clear();
        m_verified = m_verified || now - m_undisputedSince >= verificationIntervals * m_heartbeatInterval;
    }
    const bool drainStarted = heartbeat.draining && !m_heartbeat->draining;
    if (drainStarted)
        recordClosing();
    m_heartbeat = heartbeat;
    m_lastHeartbeat = now;
    recordServerActivity();
    return drainStarted ? HeartbeatResult::DrainStarted : HeartbeatResult::Unchanged;
}

// Applies a heartbeat of another instance, or one of the current instance that differs from what is known of it.
HeartbeatResult LocalServer::applyOther(const ServerHeartbeat& heartbeat)
{
    if (startsNewInstance(heartbeat)) {
        startInstance(heartbeat, false);
        return HeartbeatResult::NewInstance;
    }
    const auto result = notApplied(heartbeat);
    m_candidate.record(heartbeat, m_clock.now());
    if (opensServer(heartbeat) ? mayOpen() : candidateRuns()) {
        startInstance(heartbeat, true);
        return HeartbeatResult::NewInstance;
    }
    m_undisputedSince = m_clock.now();
    return result;
}

HeartbeatResult LocalServer::notApplied(const ServerHeartbeat& heartbeat) const
{
    const bool outdated = isCurrent(heartbeat) && (m_shutDown || heartbeat.sequence < m_heartbeat->sequence);
    return outdated || wasReplaced(heartbeat) ? HeartbeatResult::Stale : HeartbeatResult::Unverified;
}

// Whether the server would get new flows because of this heartbeat.
bool LocalServer::opensServer(const ServerHeartbeat& heartbeat) const
{
    return closed() && !heartbeat.draining;
}

bool LocalServer::candidateOpensServer() const
{
    return m_candidate.last() && opensServer(*m_candidate.last());
}

// Whether the heartbeats show that the candidate runs and the instance that closed the server does not. The report of a shutdown
// names the server only: an instance that goes on after it did not send it if it had not reported a drain.
bool LocalServer::candidateKeepsSending() const
{
    if (m_shutDown && !draining() && isCurrent(*m_candidate.last()))
        return candidateRuns();
    return m_candidate.length() >= openingHeartbeats && m_clock.now() - m_lastClosed >= openingIntervals * m_heartbeatInterval;
}

void LocalServer::startInstance(const ServerHeartbeat& heartbeat, bool verified)
{
    std::erase_if(m_replaced, [&](const auto& replaced) { return replaced.isSameInstance(heartbeat); });
    if (m_heartbeat && !isCurrent(heartbeat))
        m_replaced.push_back(*m_heartbeat);
    if (m_replaced.size() > replacedInstanceLimit)
        m_replaced.pop_front();
    m_candidate.clear();
    m_heartbeat = heartbeat;
    m_shutDown = false;
    recordClosing();
    m_verified = verified;
    m_undisputedSince = m_clock.now();
    m_lastHeartbeat = m_clock.now();
    recordServerActivity();
}

bool LocalServer::wasReplaced(const ServerHeartbeat& heartbeat) const
{
    return std::any_of(m_replaced.begin(), m_replaced.end(), [&](const auto& replaced) { return replaced.isSameInstance(heartbeat); });
}

// Whether the heartbeat is accepted without a second one, so that the restart of a server takes effect at once.
bool LocalServer::startsNewInstance(const ServerHeartbeat& heartbeat) const
{
    if (opensServer(heartbeat))
        return false;
    if (!m_heartbeat)
        return true;
    if (isCurrent(heartbeat) || wasReplaced(heartbeat))
        return false;
    if (m_clock.now() - m_lastHeartbeat > presumedEndedIntervals * m_heartbeatInterval)
        return true;
    return !heartbeat.draining && heartbeat.sequence <= firstSequence && heartbeat.startedAtMs > m_heartbeat->startedAtMs;
}

// Whether the candidate keeps sending heartbeats while the current instance sends none.
bool LocalServer::candidateRuns() const
{
    const auto now = m_clock.now();
    return m_candidate.length() > 1 && m_candidate.age(now) >= verificationIntervals * m_heartbeatInterval && now - m_lastHeartbeat > missedHeartbeatIntervals * m_heartbeatInterval;
}

void LocalServer::expectHeartbeat(const std::string& name, bool draining)
{
    if (m_heartbeat)
        return;
    const bool wasExpected = m_expected.has_value();
    if (draining && !this->draining())
        recordClosing();
    m_expected = { .name = name, .draining = draining };
    if (wasExpected)
        return;
    m_lastHeartbeat = m_clock.now();
    recordServerActivity();
}

// Evidence from before the server was closed says nothing about the process that closed it.
void LocalServer::recordClosing()
{
    m_lastClosed = m_clock.now();
    m_processEnded = false;
    m_processReplaced = false;
    m_healthy = false;
}

void LocalServer::recordPortState(bool acceptsConnections)
{
    if (!closedByReport())
        return;
    m_processReplaced = m_processEnded && acceptsConnections;
    m_processEnded = m_processEnded || !acceptsConnections;
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

// Whether the process on this VM may be an instance with this name.
bool LocalServer::mayRunAs(const std::string& name) const
{
    if (!m_heartbeat)
        return m_expected && m_expected->name == name;
    const auto& candidate = m_candidate.last();
    if (m_heartbeat->name == name || (candidate && candidate->name == name))
        return true;
    return !m_verified && std::any_of(m_replaced.begin(), m_replaced.end(), [&](const auto& replaced) { return replaced.name == name; });
}

bool LocalServer::markShutDown(const std::string& name)
{
    if (!mayRunAs(name))
        return false;
    if (!closedByReport())
        recordClosing();
    m_lastClosed = m_clock.now();
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
    m_lastClosed += std::min(pause, now - m_lastClosed);
    m_candidate.skip(pause, now);
}

} // namespace clementinesill::passthrough

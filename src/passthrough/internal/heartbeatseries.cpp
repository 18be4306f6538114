#include "passthrough/heartbeatseries.h"

#include <algorithm>

namespace clementinesill::passthrough {

void HeartbeatSeries::record(const ServerHeartbeat& heartbeat, MonotonicTime now)
{
    const bool continues = m_last && m_last->isSameInstance(heartbeat) && now - m_countedAt <= maximumGapIntervals * m_heartbeatInterval;
    if (!continues) {
        m_last = heartbeat;
        m_length = 1;
        m_firstAt = now;
        m_countedAt = now;
        return;
    }
    if (heartbeat.sequence <= m_last->sequence)
        return;
    m_last = heartbeat;
    if (now - m_countedAt < minimumGapIntervals * m_heartbeatInterval)
        return;
    ++m_length;
    m_countedAt = now;
}

void HeartbeatSeries::skip(Duration pause, MonotonicTime now)
{
    m_firstAt += std::min(pause, now - m_firstAt);
    m_countedAt += std::min(pause, now - m_countedAt);
}

} // namespace clementinesill::passthrough

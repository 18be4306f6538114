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

void HeartbeatSeries::skip(Duration pause)
{
    m_firstAt += pause;
    m_countedAt += pause;
}

} // namespace clementinesill::passthrough

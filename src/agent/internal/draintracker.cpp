#include "agent/draintracker.h"

namespace clementinesill::agent {

DrainStatus DrainTracker::check(std::size_t openFlows, std::size_t undelivered)
{
    const auto now = m_clock.now();
    if (m_limit.count() && now - m_start >= m_limit)
        return DrainStatus::TimedOut;
    if (openFlows) {
        m_flowsEnded.reset();
        return DrainStatus::Waiting;
    }
    if (!m_flowsEnded)
        m_flowsEnded = now;
    if (undelivered && now - *m_flowsEnded < lingerTimeout)
        return DrainStatus::Waiting;
    return DrainStatus::Complete;
}

} // namespace clementinesill::agent

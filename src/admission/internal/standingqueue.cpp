#include "admission/standingqueue.h"

#include <algorithm>

namespace clementinesill::admission {

StandingQueue::StandingQueue(const QueueOptions& options, const IClock& clock)
    : m_options(options)
    , m_clock(clock)
    , m_intervalEnd(clock.now() + options.interval)
{
}

void StandingQueue::recordWait(Duration wait)
{
    const auto now = m_clock.now();
    if (now < m_intervalEnd) {
        m_shortestWait = std::min(m_shortestWait, wait);
        return;
    }
    m_isStanding = m_shortestWait > m_options.target;
    m_shortestWait = wait;
    m_intervalEnd = now + m_options.interval;
}

} // namespace clementinesill::admission

#include "agent/departure.h"

namespace clementinesill::agent {

DepartureVerdict Departure::check(std::size_t openFlows, std::size_t undelivered)
{
    const auto now = m_clock.now();
    if (m_limit.count() && now - m_start >= m_limit)
        return DepartureVerdict::TimedOut;
    if (openFlows) {
        m_flowsEnded.reset();
        return DepartureVerdict::Wait;
    }
    if (!m_flowsEnded)
        m_flowsEnded = now;
    if (undelivered && now - *m_flowsEnded < lingerTimeout)
        return DepartureVerdict::Wait;
    return DepartureVerdict::FlowsEnded;
}

} // namespace clementinesill::agent

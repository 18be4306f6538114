#include "passthrough/coldstartlimit.h"

namespace clementinesill::passthrough {

namespace {

// New flows are counted over a sliding second; the 50 ms margin covers the delay between agent and server.
constexpr auto windowLength = std::chrono::milliseconds(1050);

} // namespace

bool ColdStartLimit::allows(double flowsPerSecond)
{
    if (!isCold() || flowsPerSecond <= 0)
        return true;
    if (m_clock.now() - m_countedSince < windowLength)
        return false;
    discardExpired();
    const auto limit = flowsPerSecond * m_options.factor + m_options.extraFlows;
    return static_cast<double>(m_flowStarts.size()) + 1 <= limit;
}

void ColdStartLimit::recordFlow()
{
    discardExpired();
    m_flowStarts.push_back(m_clock.now());
}

void ColdStartLimit::discardExpired()
{
    const auto oldest = m_clock.now() - windowLength;
    while (!m_flowStarts.empty() && m_flowStarts.front() < oldest)
        m_flowStarts.pop_front();
}

} // namespace clementinesill::passthrough

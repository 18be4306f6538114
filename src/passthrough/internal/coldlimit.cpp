#include "passthrough/coldlimit.h"

namespace clementinesill::passthrough {

namespace {

// Openings are counted over any second; the margin covers the way from here to the server.
constexpr auto window = std::chrono::milliseconds(1050);

} // namespace

bool ColdLimit::allows(double flowsPerSecond)
{
    if (!cold() || flowsPerSecond <= 0)
        return true;
    forgetOld();
    const auto limit = flowsPerSecond * m_options.factor + m_options.extraFlows;
    return static_cast<double>(m_openings.size()) + 1 <= limit;
}

void ColdLimit::opened()
{
    forgetOld();
    m_openings.push_back(m_clock.now());
}

void ColdLimit::forgetOld()
{
    const auto since = m_clock.now() - window;
    while (!m_openings.empty() && m_openings.front() < since)
        m_openings.pop_front();
}

} // namespace clementinesill::passthrough

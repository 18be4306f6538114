#include "admission/latencybaseline.h"

#include <algorithm>

namespace clementinesill::admission {

namespace {
// Factor by which one latency moves the baseline towards itself.
constexpr double baselineMove = 1.02;
constexpr double smallestSeconds = 1e-6;
} // namespace

LatencyBaseline::LatencyBaseline(double step, Duration floor)
    : m_step(step)
    , m_floorSeconds(std::chrono::duration<double>(floor).count())
{
}

void LatencyBaseline::record(Duration latency)
{
    const auto seconds = std::max(smallestSeconds, std::chrono::duration<double>(latency).count());
    m_recent[m_recorded % recentCount] = seconds;
    ++m_recorded;
    if (m_baselineSeconds == 0) {
        m_baselineSeconds = seconds;
        return;
    }
    if (seconds > m_baselineSeconds)
        m_baselineSeconds = std::min(seconds, m_baselineSeconds * baselineMove);
    else
        m_baselineSeconds = std::max(seconds, m_baselineSeconds / baselineMove);
}

double LatencyBaseline::recentMedian() const
{
    auto sorted = m_recent;
    const auto middle = sorted.begin() + recentCount / 2;
    std::nth_element(sorted.begin(), middle, sorted.end());
    return *middle;
}

bool LatencyBaseline::stepped() const
{
    if (m_recorded < recentCount)
        return false;
    const auto median = recentMedian();
    return median > m_floorSeconds && median > m_step * m_baselineSeconds;
}

void LatencyBaseline::clearRecent()
{
    m_recorded = 0;
}

} // namespace clementinesill::admission

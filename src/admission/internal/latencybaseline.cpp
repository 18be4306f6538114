#include "admission/latencybaseline.h"

#include <algorithm>
#include <cmath>

namespace clementinesill::admission {

namespace {
// Maximum factor by which one window lowers the baseline.
constexpr double maximumBaselineDecrease = 1.02;
// Minimum time in which the baseline rises by the factor e. It rises so that it adapts to a server that remains slow.
constexpr std::chrono::duration<double> baselineRiseTime { 60 };
} // namespace

LatencyBaseline::LatencyBaseline(Duration floor, const IClock& clock)
    : m_clock(clock)
    , m_floorSeconds(std::chrono::duration<double>(floor).count())
    , m_lastUpdate(clock.now())
{
}

std::optional<double> LatencyBaseline::record(Duration latency)
{
    m_window[m_recorded] = std::max(m_floorSeconds, std::chrono::duration<double>(latency).count());
    ++m_recorded;
    if (m_recorded < windowSize)
        return std::nullopt;
    m_recorded = 0;
    const auto seconds = secondLowest();
    if (m_baselineSeconds == 0)
        m_baselineSeconds = seconds;
    const auto ratio = seconds / m_baselineSeconds;
    updateBaseline(seconds);
    return ratio;
}

double LatencyBaseline::secondLowest() const
{
    auto sorted = m_window;
    const auto second = sorted.begin() + 1;
    std::nth_element(sorted.begin(), second, sorted.end());
    return *second;
}

void LatencyBaseline::updateBaseline(double seconds)
{
    const auto now = m_clock.now();
    const auto maximumIncrease = std::exp((now - m_lastUpdate) / baselineRiseTime);
    m_lastUpdate = now;
    m_baselineSeconds = std::clamp(seconds, m_baselineSeconds / maximumBaselineDecrease, m_baselineSeconds * maximumIncrease);
}

} // namespace clementinesill::admission

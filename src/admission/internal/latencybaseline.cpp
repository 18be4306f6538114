#include "admission/latencybaseline.h"

#include <algorithm>
#include <cmath>

namespace clementinesill::admission {

namespace {
// Factor by which one window lowers the baseline at most.
constexpr double baselineFall = 1.02;
// Time in which the baseline grows by the factor e at most, so that a server that stays slow becomes the new normal.
constexpr std::chrono::duration<double> baselineRiseTime { 60 };
} // namespace

LatencyBaseline::LatencyBaseline(Duration floor, const IClock& clock)
    : m_clock(clock)
    , m_floorSeconds(std::chrono::duration<double>(floor).count())
    , m_lastMove(clock.now())
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
    moveBaseline(seconds);
    return ratio;
}

double LatencyBaseline::secondLowest() const
{
    auto sorted = m_window;
    const auto second = sorted.begin() + 1;
    std::nth_element(sorted.begin(), second, sorted.end());
    return *second;
}

void LatencyBaseline::moveBaseline(double seconds)
{
    const auto now = m_clock.now();
    const auto rise = std::exp((now - m_lastMove) / baselineRiseTime);
    m_lastMove = now;
    m_baselineSeconds = std::clamp(seconds, m_baselineSeconds / baselineFall, m_baselineSeconds * rise);
}

} // namespace clementinesill::admission

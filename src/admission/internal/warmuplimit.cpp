#include "admission/warmuplimit.h"

#include <algorithm>

namespace clementinesill::admission {

WarmupLimit::WarmupLimit(const WarmupOptions& options, const IClock& clock)
    : m_options(options)
    , m_clock(clock)
    , m_baselines { LatencyBaseline(options.latencyFloor, clock), LatencyBaseline(options.latencyFloor, clock) }
    , m_limit(std::min(options.start, options.maximum))
    , m_growthInterval(options.growthInterval)
    , m_lastChange(clock.now())
    , m_lastShrink(clock.now() - options.shrinkInterval)
    , m_cap(options.maximum)
    , m_capEnd(clock.now())
{
}

std::uint32_t WarmupLimit::limit() const
{
    auto limit = std::min(static_cast<std::uint32_t>(m_limit), m_options.maximum);
    if (m_clock.now() < m_capEnd)
        limit = std::min(limit, m_cap);
    return std::max(limit, 1U);
}

void WarmupLimit::onFinished(const RequestResult& result, std::uint32_t inProgress)
{
    switch (result.end) {
    case RequestEnd::Answered:
        onAnswered(result, inProgress);
        return;
    case RequestEnd::Shed:
    case RequestEnd::Failed:
    case RequestEnd::TimedOut:
        onOverload();
        return;
    case RequestEnd::Cancelled:
        return;
    }
}

void WarmupLimit::onAnswered(const RequestResult& result, std::uint32_t inProgress)
{
    m_consecutiveFailures = 0;
    ++m_successes;
    auto& baseline = m_baselines[static_cast<std::size_t>(result.kind)];
    if (const auto ratio = baseline.record(std::chrono::duration_cast<Duration>(result.latency)))
        onLatency(*ratio);
    if (!mayGrow(inProgress))
        return;
    m_limit = std::min<double>(m_limit + 1, m_options.maximum);
    m_successes = 0;
    m_lastChange = m_clock.now();
    m_growthInterval = std::max(m_options.growthInterval, m_growthInterval / 2);
}

void WarmupLimit::onLatency(double ratio)
{
    m_latencyRatio = ratio;
    m_slowWindows = ratio >= m_options.latencyStep ? m_slowWindows + 1 : 0;
    if (m_slowWindows >= m_options.stepWindows) {
        restart();
        return;
    }
    if (ratio < m_options.latencyFall)
        return;
    m_limit = std::max(1.0, m_limit - 1);
    slowGrowth();
}

bool WarmupLimit::mayGrow(std::uint32_t inProgress) const
{
    const auto used = inProgress >= limit();
    const auto proven = m_successes >= static_cast<std::uint32_t>(m_limit);
    const auto rested = m_clock.now() - m_lastChange >= m_growthInterval;
    const auto quick = m_latencyRatio < m_options.latencyHold;
    return used && proven && rested && quick && m_limit < m_options.maximum;
}

void WarmupLimit::onOverload()
{
    ++m_consecutiveFailures;
    if (m_consecutiveFailures >= m_options.failuresToRestart) {
        restart();
        return;
    }
    const auto now = m_clock.now();
    if (now - m_lastShrink < m_options.shrinkInterval)
        return;
    m_limit = std::max(1.0, m_limit * m_options.shrinkFactor);
    m_lastShrink = now;
    slowGrowth();
}

void WarmupLimit::slowGrowth()
{
    m_growthInterval = std::min(m_growthInterval * 2, m_options.growthIntervalMaximum);
    m_lastChange = m_clock.now();
    m_successes = 0;
}

void WarmupLimit::restart()
{
    m_limit = std::min(m_options.start, m_options.maximum);
    m_consecutiveFailures = 0;
    m_slowWindows = 0;
    for (auto& baseline : m_baselines)
        baseline.clearWindow();
    slowGrowth();
}

void WarmupLimit::lower(std::uint32_t cap, Duration duration)
{
    m_cap = std::max(cap, 1U);
    m_capEnd = m_clock.now() + duration;
}

} // namespace clementinesill::admission

#include "admission/warmuplimit.h"

#include <algorithm>

namespace clementinesill::admission {

WarmupLimit::WarmupLimit(const WarmupOptions& options, const IClock& clock)
    : m_options(options)
    , m_clock(clock)
    , m_baselines { LatencyBaseline(options.latencyFloor, clock), LatencyBaseline(options.latencyFloor, clock) }
    , m_limit(std::min(options.initialLimit, options.maximumLimit))
    , m_increaseInterval(options.increaseInterval)
    , m_lastChange(clock.now())
    , m_lastDecrease(clock.now() - options.decreaseInterval)
    , m_cap(options.maximumLimit)
    , m_capEnd(clock.now())
{
}

std::uint32_t WarmupLimit::limit() const
{
    auto limit = std::min(static_cast<std::uint32_t>(m_limit), m_options.maximumLimit);
    if (m_clock.now() < m_capEnd)
        limit = std::min(limit, m_cap);
    return std::max(limit, 1U);
}

void WarmupLimit::onFinished(const RequestResult& result, std::uint32_t inProgress)
{
    switch (result.outcome) {
    case RequestOutcome::Completed:
        onCompleted(result, inProgress);
        return;
    case RequestOutcome::Rejected:
    case RequestOutcome::Failed:
    case RequestOutcome::TimedOut:
        onFailure();
        return;
    case RequestOutcome::Cancelled:
        return;
    }
}

void WarmupLimit::onCompleted(const RequestResult& result, std::uint32_t inProgress)
{
    m_consecutiveFailures = 0;
    ++m_successes;
    auto& baseline = m_baselines[static_cast<std::size_t>(result.kind)];
    if (const auto ratio = baseline.record(std::chrono::duration_cast<Duration>(result.latency)))
        onLatencyRatio(*ratio);
    if (!canIncrease(inProgress))
        return;
    m_limit = std::min<double>(m_limit + 1, m_options.maximumLimit);
    m_successes = 0;
    m_lastChange = m_clock.now();
    m_increaseInterval = std::max(m_options.increaseInterval, m_increaseInterval / 2);
}

void WarmupLimit::onLatencyRatio(double ratio)
{
    m_latencyRatio = ratio;
    m_consecutiveSlowWindows = ratio >= m_options.restartLatencyRatio ? m_consecutiveSlowWindows + 1 : 0;
    if (m_consecutiveSlowWindows >= m_options.restartWindows) {
        restart();
        return;
    }
    if (ratio < m_options.decreaseLatencyRatio)
        return;
    m_limit = std::max(1.0, m_limit - 1);
    delayIncrease();
}

bool WarmupLimit::canIncrease(std::uint32_t inProgress) const
{
    const auto limitReached = inProgress >= limit();
    const auto enoughSuccesses = m_successes >= static_cast<std::uint32_t>(m_limit);
    const auto intervalElapsed = m_clock.now() - m_lastChange >= m_increaseInterval;
    const auto latencyNormal = m_latencyRatio < m_options.holdLatencyRatio;
    return limitReached && enoughSuccesses && intervalElapsed && latencyNormal && m_limit < m_options.maximumLimit;
}

void WarmupLimit::onFailure()
{
    ++m_consecutiveFailures;
    if (m_consecutiveFailures >= m_options.failuresToRestart) {
        restart();
        return;
    }
    const auto now = m_clock.now();
    if (now - m_lastDecrease < m_options.decreaseInterval)
        return;
    m_limit = std::max(1.0, m_limit * m_options.decreaseFactor);
    m_lastDecrease = now;
    delayIncrease();
}

void WarmupLimit::delayIncrease()
{
    m_increaseInterval = std::min(m_increaseInterval * 2, m_options.maximumIncreaseInterval);
    m_lastChange = m_clock.now();
    m_successes = 0;
}

void WarmupLimit::restart()
{
    m_limit = std::min(m_options.initialLimit, m_options.maximumLimit);
    m_consecutiveFailures = 0;
    m_consecutiveSlowWindows = 0;
    for (auto& baseline : m_baselines)
        baseline.clearWindow();
    delayIncrease();
}

void WarmupLimit::lower(std::uint32_t cap, Duration duration)
{
    m_cap = std::max(cap, 1U);
    m_capEnd = m_clock.now() + duration;
}

} // namespace clementinesill::admission

#pragma once

#include "foundation/seededrandom.h"
#include "testing/manualclock.h"

#include <chrono>
#include <cmath>
#include <functional>
#include <map>

namespace clementinesill::admission {

// Runs events in the order of their time on a manual clock.
class EventSimulation {
public:
    explicit EventSimulation(std::uint64_t seed)
        : m_random(seed)
        , m_begin(m_clock.now())
    {
    }

    const ManualClock& clock() const { return m_clock; }
    MonotonicTime begin() const { return m_begin; }

    void schedule(Duration delay, std::function<void()> action) { m_events.emplace(m_clock.now() + delay, std::move(action)); }

    // Runs until the given time since the begin.
    void run(Duration length)
    {
        while (!m_events.empty() && m_events.begin()->first <= m_begin + length) {
            const auto event = m_events.begin();
            m_clock.advance(event->first - m_clock.now());
            const auto action = std::move(event->second);
            m_events.erase(event);
            action();
        }
    }

    // Uniformly distributed in (0, 1].
    double uniform() { return static_cast<double>(m_random.below(1U << 30) + 1) / static_cast<double>(1U << 30); }

    std::uint64_t below(std::uint64_t bound) { return m_random.below(bound); }

    // Time between two arrivals of a Poisson process.
    Duration gap(double perSecond) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(-std::log(uniform()) / perSecond)); }

private:
    SeededRandom m_random;
    ManualClock m_clock;
    MonotonicTime m_begin;
    std::multimap<MonotonicTime, std::function<void()>> m_events;
};

} // namespace clementinesill::admission

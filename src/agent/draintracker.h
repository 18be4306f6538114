#pragma once

#include "foundation/iclock.h"

#include <cstddef>
#include <optional>

namespace clementinesill::agent {

enum class DrainStatus {
    // Flows are still open, or their last bytes are not acknowledged yet.
    Waiting,
    Complete,
    // The time limit has passed; the remaining flows are to be aborted.
    TimedOut,
};

// Decides when an agent that shuts down may exit.
class DrainTracker {
public:
    // Maximum wait for callers to acknowledge the last bytes after all flows have ended.
    static constexpr std::chrono::seconds lingerTimeout { 5 };

    // Starts the drain. A limit of 0 means no time limit.
    DrainTracker(const IClock& clock, Duration limit)
        : m_clock(clock)
        , m_limit(limit)
        , m_start(clock.now())
    {
    }

    // openFlows: number of half-open and established flows. undelivered: number of closed connections with bytes that the
    // caller has not acknowledged.
    DrainStatus check(std::size_t openFlows, std::size_t undelivered);

private:
    const IClock& m_clock;
    Duration m_limit;
    MonotonicTime m_start;
    std::optional<MonotonicTime> m_flowsEnded;
};

} // namespace clementinesill::agent

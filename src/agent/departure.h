#pragma once

#include "foundation/iclock.h"

#include <cstddef>
#include <optional>

namespace clementinesill::agent {

enum class DepartureVerdict {
    // Flows are still open, or their last bytes are not delivered yet.
    Wait,
    FlowsEnded,
    // The time is over; what is left is given up.
    TimedOut,
};

// Decides when a leaving agent may end.
class Departure {
public:
    // Longest wait for callers to take the last bytes once all flows have ended.
    static constexpr std::chrono::seconds lingerTimeout { 5 };

    // A limit of 0 waits for the flows without end.
    Departure(const IClock& clock, Duration limit)
        : m_clock(clock)
        , m_limit(limit)
        , m_start(clock.now())
    {
    }

    // openFlows: half-open and established ones; undelivered: ended connections with bytes that the caller has not taken.
    DepartureVerdict check(std::size_t openFlows, std::size_t undelivered);

private:
    const IClock& m_clock;
    Duration m_limit;
    MonotonicTime m_start;
    std::optional<MonotonicTime> m_flowsEnded;
};

} // namespace clementinesill::agent

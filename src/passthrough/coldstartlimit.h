#pragma once

#include "foundation/iclock.h"
#include "passthrough/types/coldstartlimitoptions.h"

#include <algorithm>
#include <cstdint>
#include <deque>

namespace clementinesill::passthrough {

// Limits the rate of new flows to a server that has just started, or whose zone has just returned, and that would be
// overloaded if it received its full share at once.
class ColdStartLimit {
public:
    ColdStartLimit(const IClock& clock, const ColdStartLimitOptions& options)
        : m_clock(clock)
        , m_options(options)
        , m_countedSince(clock.now())
    {
    }

    // Sets how long the server is cold from now on, as reported by its heartbeat; zero if it is warm.
    void setColdFor(Duration remaining) { m_coldUntil = m_clock.now() + remaining; }

    // As above, but a server that is cold for longer remains so: the heartbeat may be one of another instance.
    void extendCold(Duration remaining) { m_coldUntil = std::max(m_coldUntil, m_clock.now() + remaining); }

    // Treats the server as cold for at least this long, because it may have become cold without having reported it yet. A
    // heartbeat does not shorten this time.
    void assumeCold(Duration duration) { m_assumedColdUntil = std::max(m_assumedColdUntil, m_clock.now() + duration); }

    bool isCold() const { return m_clock.now() < m_coldUntil || m_clock.now() < m_assumedColdUntil; }

    // Returns whether one more flow is within the limit. flowsPerSecond is the rate of a cold server; 0 means no limit. Within a second
    // after the construction no flow is, since the flows that an earlier process has delivered are not known.
    bool allows(double flowsPerSecond);

    // Called for each new flow delivered to the server.
    void recordFlow();

private:
    void discardExpired();

    const IClock& m_clock;
    ColdStartLimitOptions m_options;
    MonotonicTime m_countedSince;
    MonotonicTime m_coldUntil;
    MonotonicTime m_assumedColdUntil;
    std::deque<MonotonicTime> m_flowStarts;
};

} // namespace clementinesill::passthrough

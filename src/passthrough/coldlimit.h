#pragma once

#include "foundation/iclock.h"
#include "passthrough/types/coldlimitoptions.h"

#include <cstdint>
#include <deque>

namespace clementinesill::passthrough {

// Keeps the flows that a cold server is given in any second within what it bears. Load pattern: a server that has just
// started, or a whole zone that comes back, and would be given its full share at once.
class ColdLimit {
public:
    ColdLimit(const IClock& clock, const ColdLimitOptions& options)
        : m_clock(clock)
        , m_options(options)
    {
    }

    // The server says that it is cold for this long from now; zero makes it warm.
    void setCold(Duration remaining) { m_coldUntil = m_clock.now() + remaining; }

    // The server may have turned cold without having said so yet; what it says meanwhile does not shorten this.
    void assumeCold(Duration duration) { m_assumedUntil = m_clock.now() + duration; }

    bool cold() const { return m_clock.now() < m_coldUntil || m_clock.now() < m_assumedUntil; }

    // Whether one more flow is borne now. flowsPerSecond is the rate of a cold server; 0 sets no limit.
    bool allows(double flowsPerSecond);

    // A flow was given to the server.
    void opened();

private:
    void forgetOld();

    const IClock& m_clock;
    ColdLimitOptions m_options;
    MonotonicTime m_coldUntil;
    MonotonicTime m_assumedUntil;
    std::deque<MonotonicTime> m_openings;
};

} // namespace clementinesill::passthrough

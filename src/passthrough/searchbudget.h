#pragma once

#include "foundation/iclock.h"

#include <cstddef>

namespace clementinesill::passthrough {

// Limits how many searches that visit every server an agent starts. After a restart of all servers, the next packet of each
// open flow starts one, and the agents together would forward more packets than they can handle.
class SearchBudget {
public:
    explicit SearchBudget(const IClock& clock)
        : m_clock(clock)
        , m_hops(maximumHops)
        , m_updated(clock.now())
    {
    }

    // Returns whether a search that visits this many servers may start. A search larger than the budget that is left may start
    // and is paid for later.
    bool take(std::size_t servers);

private:
    // Hops of the searches that one agent may start in a second, on average. With all agents starting as many, this is also
    // the number of packets that each of them forwards: about a twentieth of a core.
    static constexpr double hopsPerSecond = 2000;
    // Budget that is kept while no searches start.
    static constexpr double maximumHops = 2 * hopsPerSecond;

    const IClock& m_clock;
    double m_hops;
    MonotonicTime m_updated;
};

} // namespace clementinesill::passthrough

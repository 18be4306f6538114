#pragma once

#include "foundation/iclock.h"
#include "foundation/types/endpoint.h"

#include <boost/container/flat_map.hpp>
#include <cstddef>

namespace clementinesill::passthrough {

// Counts the balancers whose new flows have reached this agent recently, also through other agents.
class ActiveBalancers {
public:
    // The clock must outlive the object.
    explicit ActiveBalancers(const IClock& clock)
        : m_clock(clock)
    {
    }

    void record(const Endpoint& balancer) { m_lastSeen[balancer] = m_clock.now(); }

    // Number of balancers, at least 1.
    std::size_t count();

private:
    const IClock& m_clock;
    boost::container::flat_map<Endpoint, MonotonicTime> m_lastSeen;
};

} // namespace clementinesill::passthrough

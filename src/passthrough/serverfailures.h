#pragma once

#include "foundation/iclock.h"

#include <cstdint>

namespace clementinesill::passthrough {

// Detects a server that ends a large share of its requests without a response. Such a server always has free slots, so without
// this check it would attract the load of the others. Must only be used on the agent's event loop.
class ServerFailures {
public:
    explicit ServerFailures(const IClock& clock)
        : m_clock(clock)
    {
    }

    // Records that a request has ended, with or without a response.
    void record(bool responded);

    // Forgets all requests; called when the server has restarted.
    void clear() { m_failedRequests = 0; }

    bool failing() const;

    // Whether a failing server may be given another request, to find out whether it has recovered. If so, the next one follows
    // after the probe interval.
    bool takeProbe();

private:
    const IClock& m_clock;
    // One bit for each of the last requests, the latest one in the lowest bit; set if it failed.
    std::uint32_t m_failedRequests = 0;
    MonotonicTime m_nextProbe;
};

} // namespace clementinesill::passthrough

#pragma once

#include "foundation/iclock.h"
#include "passthrough/types/perceivedload.h"

#include <cstdint>

namespace clementinesill::passthrough {

// What a balancer knows about the load of one server. A fact is valid until its expiry.
struct ServerLoadRecord {
    MonotonicTime busyUntil;
    MonotonicTime unansweredUntil;
    // Until then, the first SYN after unansweredUntil is a probe.
    MonotonicTime probeUntil;
    MonotonicTime fullUntil;
    // Highest priority (smallest number) for which the server is full.
    std::uint32_t fullPriority = 0;
    // When the last notice or retransmitted SYN was recorded.
    MonotonicTime recordedAt;

    // Load for a new flow of the priority.
    PerceivedLoad load(std::uint32_t priority, MonotonicTime now) const { return { .full = fullUntil > now && priority >= fullPriority, .unanswered = unansweredUntil > now, .busy = busyUntil > now }; }

    bool expired(MonotonicTime now) const { return busyUntil <= now && unansweredUntil <= now && probeUntil <= now && fullUntil <= now; }
};

} // namespace clementinesill::passthrough

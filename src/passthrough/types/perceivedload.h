#pragma once

#include <string_view>

namespace clementinesill::passthrough {

// Load of a server as a balancer perceives it, for a new flow of one priority.
struct PerceivedLoad {
    // Rejects new flows of the priority.
    bool full = false;
    // Callers have retransmitted SYNs that were forwarded to the server: its VM or link may have failed. Such a server is placed
    // after busy ones, since it would otherwise look idle and attract all new flows while the others are busy.
    bool unanswered = false;
    // No free slot: a new flow waits.
    bool busy = false;

    // Whether nothing is known, or a slot is free.
    bool none() const { return !full && !unanswered && !busy; }

    bool operator==(const PerceivedLoad&) const = default;
};

// Name of the property that counts most: "full", "unanswered", "busy" or "none".
std::string_view name(const PerceivedLoad& load);

} // namespace clementinesill::passthrough

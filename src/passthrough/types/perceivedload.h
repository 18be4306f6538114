#pragma once

#include <string_view>

namespace clementinesill::passthrough {

// Load of a server as a balancer perceives it, for a new flow of one priority. Lower values are placed first.
enum class PerceivedLoad {
    // Nothing is known, or a slot is free.
    None,
    // No free slot: a new flow waits.
    Busy,
    // Callers have retransmitted SYNs that were forwarded to the server. Its VM or link may have failed; after busy servers,
    // since a failed server would otherwise look idle and attract all new flows while the others are busy.
    Unanswered,
    // Rejects new flows of the priority.
    Full,
};

std::string_view name(PerceivedLoad load);

} // namespace clementinesill::passthrough

#pragma once

#include "fleet/types/routeentry.h"
#include "passthrough/types/perceivedload.h"

namespace clementinesill::passthrough {

// Position of a server that is not full among the servers for a new flow; the lowest is first. Bytes between zones cost, so a
// download leaves its zone only if no server there answers.
inline unsigned placementKey(const PerceivedLoad& load, bool inOtherZone, fleet::RequestKind kind)
{
    const auto unanswered = load.unanswered ? 1U : 0U;
    const auto busy = load.busy ? 1U : 0U;
    const auto zone = inOtherZone ? 1U : 0U;
    return 4 * unanswered + (kind == fleet::RequestKind::Download ? 2 * zone + busy : 2 * busy + zone);
}

// Whether a new flow goes to the first server in the order of placementKey, or is rejected: while others are full, callers would
// wait in vain for one that does not answer.
inline bool mayPlace(const PerceivedLoad& first, bool anyFull) { return !(anyFull && first.unanswered); }

} // namespace clementinesill::passthrough

#pragma once

#include "fleet/types/flowkey.h"
#include "foundation/iclock.h"

namespace clementinesill::agent {

// Remembers since when packets of a flow find no holder, so that a reset waits for proof that no newer table exists.
class IMissLog {
public:
    virtual ~IMissLog() = default;

    // When the flow was missed first in the run of misses that goes on with this packet; now itself if it starts one. A
    // sequence number far from the run's last one belongs to a later flow of the same key and starts a run of its own.
    virtual MonotonicTime note(const fleet::FlowKey& key, std::uint32_t sequence, MonotonicTime now) = 0;

    // Ends the run of misses: the flow was seen to live.
    virtual void forget(const fleet::FlowKey& key) = 0;
};

} // namespace clementinesill::agent

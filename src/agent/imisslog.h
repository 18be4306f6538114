#pragma once

#include "fleet/types/flowkey.h"
#include "foundation/iclock.h"

namespace clementinesill::agent {

// Records since when packets of a flow have found no holder. A reset must wait until the table has been confirmed after
// that time, since a newer table may contain the holder.
class IMissLog {
public:
    virtual ~IMissLog() = default;

    // Returns the time of the first miss of the streak that this packet continues, or now if it starts a streak. A sequence
    // number far from the streak's last one belongs to a later flow of the same key and starts a new streak.
    virtual MonotonicTime recordMiss(const fleet::FlowKey& key, std::uint32_t sequence, MonotonicTime now) = 0;

    // Ends the streak, since a holder was found.
    virtual void clearMisses(const fleet::FlowKey& key) = 0;
};

} // namespace clementinesill::agent

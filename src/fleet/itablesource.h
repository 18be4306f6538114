#pragma once

#include "foundation/iclock.h"

#include <cstdint>
#include <memory>

namespace clementinesill::fleet {

class FleetTable;

// Gives read access to the newest fleet table of a daemon. Thread-safe.
class ITableSource {
public:
    virtual ~ITableSource() = default;

    // Never null; version 0 until the first table is received.
    virtual std::shared_ptr<const FleetTable> table() const = 0;

    // When a controller that was up to date last confirmed that it has no newer version of the table; the epoch if never.
    virtual MonotonicTime confirmedAt() const = 0;

    // When the leader last confirmed the same: it accepted no newer version before this time. The epoch if never.
    virtual MonotonicTime leaderConfirmedAt() const = 0;

    // Records the table version that a peer's packet carried, so that a controller with stale tables is detected.
    virtual void recordSeenVersion(std::uint64_t version) = 0;

    // Highest version that controllers or peers have reported.
    virtual std::uint64_t highestVersionSeen() const = 0;
};

} // namespace clementinesill::fleet

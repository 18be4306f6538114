#pragma once

#include "foundation/iclock.h"

#include <cstdint>
#include <memory>

namespace clementinesill::fleet {

class FleetTable;

// Where the newest table a daemon holds is read from. Thread-safe.
class ITableSource {
public:
    virtual ~ITableSource() = default;

    // Never null; version 0 until a table has arrived.
    virtual std::shared_ptr<const FleetTable> table() const = 0;

    // When a controller with a live lease last said that no version newer than the one held exists; the epoch if never.
    virtual MonotonicTime confirmedAt() const = 0;

    // When the leader last said so itself: no newer version was accepted before this time; the epoch if never.
    virtual MonotonicTime leaderConfirmedAt() const = 0;

    // Tells that a peer's packet carried a newer version than the one held.
    virtual void noteNewerVersion(std::uint64_t version) = 0;
};

} // namespace clementinesill::fleet

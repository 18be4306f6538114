#pragma once

#include "control/types/storedlog.h"
#include "log.pb.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace clementinesill::control {

// Durable part of the replicated log. Every function returns once its effect would survive a loss of power, and throws
// Error (Storage) otherwise; after that the controller must not go on.
class ILogStorage {
public:
    virtual ~ILogStorage() = default;

    // Called once, first.
    virtual StoredLog open() = 0;

    virtual void saveVote(const schema::VoteRecord& vote) = 0;

    // Adds entries; an index that is stored already is replaced together with all after it.
    virtual void append(std::span<const schema::LogEntry> entries) = 0;

    // Replaces the snapshot, and the log by the entries that are kept.
    virtual void saveSnapshot(const schema::SnapshotRecord& snapshot, std::span<const schema::LogEntry> kept) = 0;
};

} // namespace clementinesill::control

#pragma once

#include "control/types/storedlog.h"
#include "log.pb.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace clementinesill::control {

// Durable part of the replicated log. Every function returns once its effect would survive a power loss and throws
// Error (Storage) otherwise. After an error of a write the earlier content is intact, the effect of that write is unknown
// until the next one succeeds, and writes may be tried again.
class ILogStorage {
public:
    virtual ~ILogStorage() = default;

    // Called once, before any other function.
    virtual StoredLog open() = 0;

    virtual void saveVote(const schema::VoteRecord& vote) = 0;

    // Appends entries; an entry whose index is stored already replaces that entry and all after it.
    virtual void append(std::span<const schema::LogEntry> entries) = 0;

    // Replaces the snapshot, and the log by the kept entries.
    virtual void saveSnapshot(const schema::SnapshotRecord& snapshot, std::span<const schema::LogEntry> kept) = 0;
};

} // namespace clementinesill::control

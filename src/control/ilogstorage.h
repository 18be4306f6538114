#pragma once

#include "log.pb.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace clementinesill::control {

// What a controller's data folder held when it was opened.
struct StoredLog {
    std::uint64_t diskIdentity = 0;
    schema::VoteRecord vote;
    schema::SnapshotRecord snapshot;
    // Entries after the snapshot.
    std::vector<schema::LogEntry> entries;
};

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

#pragma once

#include "log.pb.h"

#include <cstdint>
#include <vector>

namespace clementinesill::control {

// Content of a controller's data folder at startup.
struct StoredLog {
    std::uint64_t diskIdentity = 0;
    schema::VoteRecord vote;
    schema::SnapshotRecord snapshot;
    // Entries after the snapshot.
    std::vector<schema::LogEntry> entries;
};

} // namespace clementinesill::control

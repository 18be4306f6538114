#pragma once

#include "control/types/replicapeer.h"
#include "foundation/iclock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace clementinesill::control {

// How one controller takes part in the replicated log.
struct ReplicatedLogOptions {
    std::string name;
    std::string endpoint;
    // The controllers that form the group, in the same order everywhere: the first one forms it. Others may join.
    std::vector<ReplicaPeer> peers;
    // Whether this controller may form the group if it holds nothing.
    bool mayForm = true;
    // Controllers that vote at most; others hold the log, and take the place of one that is lost.
    int memberLimit = 7;
    // A member that was not heard for this long gives its place to a controller that waits for one.
    Duration memberAbsence = std::chrono::seconds(5);
    Duration heartbeat = std::chrono::milliseconds(150);
    // A follower that hears no leader for a random time between these asks for votes, and gives none before the shorter.
    Duration shortestElectionTimeout = std::chrono::milliseconds(600);
    Duration longestElectionTimeout = std::chrono::milliseconds(1200);
    // Shorter than the shortest election timeout by what the clocks may drift apart in that time: no other leader may be
    // elected before it ends.
    Duration lease = std::chrono::milliseconds(480);
    // Entries between snapshots.
    std::uint64_t snapshotEntries = 4096;
    // Entries kept before a snapshot for followers that lag.
    std::size_t keptEntries = 512;
    std::size_t batchBytes = 1 << 20;
};

} // namespace clementinesill::control

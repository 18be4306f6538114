#pragma once

#include "control/types/replicapeer.h"
#include "foundation/iclock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace clementinesill::control {

// Options of one controller's replica.
struct ReplicatedLogOptions {
    std::string name;
    std::string endpoint;
    // The initial members, in the same order on all controllers; the first one bootstraps the group. Others may join later.
    std::vector<ReplicaPeer> peers;
    // Whether this controller may bootstrap the group if its data folder is empty.
    bool mayBootstrap = true;
    // Maximum number of voting members, exceeded by the spare ones. Further controllers are learners, which replace members that are
    // lost.
    int maxMembers = 7;
    // Members that are admitted beyond maxMembers while all respond, so that the group still tolerates as many losses right after one
    // of its members is removed without notice.
    int spareMembers = 0;
    // Once a member has not responded for this long, all silent members are removed from a group with more than maxMembers, and
    // learners take the places of those of a smaller group.
    Duration memberAbsenceTimeout = std::chrono::seconds(5);
    // A member that was removed because it did not respond may return within this time, which is longer than any stop or restart takes.
    Duration memberReturnTimeout = std::chrono::seconds(30);
    // A learner that has not responded for this long is no longer sent the log; it has to join again.
    Duration learnerAbsenceTimeout = std::chrono::seconds(30);
    Duration heartbeatInterval = std::chrono::milliseconds(150);
    // A follower that hears from no leader starts an election after a random time within these bounds. It grants no vote
    // within the minimum after it heard from a leader.
    Duration minElectionTimeout = std::chrono::milliseconds(600);
    Duration maxElectionTimeout = std::chrono::milliseconds(1200);
    // Shorter than the minimum election timeout by the clock drift that is possible in that time, so that the lease expires
    // before another leader can be elected.
    Duration leaseDuration = std::chrono::milliseconds(480);
    // Number of entries between snapshots.
    std::uint64_t snapshotEntries = 4096;
    // Number of entries kept before a snapshot for followers that lag.
    std::size_t trailingEntries = 512;
    // Size of the entries in memory, in bytes, from which a snapshot is made although there are fewer than snapshotEntries. A restart
    // needs several times as much memory, and replacing the log as much space on the disk again.
    std::size_t snapshotBytes = 16 << 20;
    // Size of the entries kept before a snapshot, in bytes.
    std::size_t trailingBytes = 4 << 20;
    std::size_t maxBatchBytes = 1 << 20;
};

} // namespace clementinesill::control

#pragma once

namespace clementinesill::control {

// Whether the group's leader could lose controllers now, as the leader sees it.
struct GroupRedundancy {
    int voters = 0;
    // Voters that have responded within the shortest election timeout, this controller included.
    int responding = 0;
    int learners = 0;
    // Number of responding voters that may be lost at once, with their disks, before the others have no majority.
    int tolerableLosses = 0;

    bool operator==(const GroupRedundancy&) const = default;
};

} // namespace clementinesill::control

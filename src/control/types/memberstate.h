#pragma once

#include "log.pb.h"

namespace clementinesill::control {

// A voting member as the leader sees it.
struct MemberState {
    schema::Member member;
    // Has acknowledged, with the data folder of the membership, a message that was sent within the shortest election timeout, and has
    // not announced its stop since. Always set for the leader.
    bool isResponding = false;
    // Has announced its stop, or has had time to respond to this leader and not responded for the shortest election timeout.
    bool isSilent = false;
    // Has announced its stop, or has been silent for the absence timeout.
    bool isAbsent = false;
    // Has responded with another data folder than the one of the membership.
    bool hasLostDataFolder = false;
};

} // namespace clementinesill::control

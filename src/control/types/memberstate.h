#pragma once

#include "log.pb.h"

namespace clementinesill::control {

// A voting member as the leader sees it.
struct MemberState {
    schema::Member member;
    // Has acknowledged, with the data folder of the membership, a message that was sent within the shortest election timeout.
    // Always set for the leader.
    bool isResponding = false;
    // Has announced its stop, or not responded for the absence timeout.
    bool isAbsent = false;
    // Has not responded for the removal timeout, which is longer than any stop or restart takes.
    bool isGone = false;
    // Has responded with another data folder than the one of the membership.
    bool hasLostDataFolder = false;
};

} // namespace clementinesill::control

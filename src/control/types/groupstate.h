#pragma once

#include "control/types/memberstate.h"

#include <vector>

namespace clementinesill::control {

// A group as its leader sees it.
struct GroupState {
    std::vector<MemberState> members;
    // Of the current membership; see schema::Membership.
    bool halfMayDecide = false;
    // A member was removed because it did not respond, and has not been silent for longer than a stop or a restart takes.
    bool removedMemberMayReturn = false;
    // Controllers that respond and hold all committed entries, with the identities of their data folders. One with the name of a
    // member has another data folder than the member.
    std::vector<schema::Member> learners;
};

} // namespace clementinesill::control

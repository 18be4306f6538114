#pragma once

#include "log.pb.h"

#include <string>
#include <vector>

namespace clementinesill::control {

// The next voting members of a group, and how they differ from the current ones. A member with a new data folder is in both lists.
struct MembershipChange {
    schema::Membership membership;
    std::vector<std::string> added;
    std::vector<std::string> removed;
    // Why members are removed; empty if none is.
    std::string reason;
    // Members are removed because they do not respond; they may return.
    bool removesSilentMembers = false;
};

} // namespace clementinesill::control

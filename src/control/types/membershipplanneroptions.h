#pragma once

namespace clementinesill::control {

struct MembershipPlannerOptions {
    // Regular number of voting members.
    int maxMembers = 7;
    // Members that are admitted beyond maxMembers while all members respond.
    int spareMembers = 0;
};

} // namespace clementinesill::control

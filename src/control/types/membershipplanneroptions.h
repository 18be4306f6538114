#pragma once

namespace clementinesill::control {

struct MembershipPlannerOptions {
    // Regular number of voting members.
    int maxMembers = 7;
    // Members that are admitted beyond maxMembers although none is absent.
    int spareMembers = 0;
};

} // namespace clementinesill::control

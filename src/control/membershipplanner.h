#pragma once

#include "control/types/groupstate.h"
#include "control/types/membershipchange.h"
#include "control/types/membershipplanneroptions.h"

#include <optional>

namespace clementinesill::control {

// Decides which controllers vote. The leader cannot distinguish a member that is stopped for a while from one that is gone for
// good, so a member that is silent keeps its vote until it has been silent for longer than any stop takes, or until a learner
// needs its place and all other members respond. A removed controller that returns is a learner like any other.
//
// With five regular members and a spare one, a learner is admitted as the sixth voter while the one that it replaces is still a
// member. In a group of six, half of the members may decide if a data folder is known to be lost: with one member gone for good
// and two data folders lost, the other three still elect a leader, whichever they are. If two of the six are removed, half of the
// remaining four may decide, too; five with a member that is gone for good would not tolerate two lost data folders.
class MembershipPlanner {
public:
    explicit MembershipPlanner(const MembershipPlannerOptions& options)
        : m_options(options)
    {
    }

    // The change to propose next; empty if the members stay.
    std::optional<MembershipChange> nextChange(const GroupState& group) const;

private:
    std::optional<MembershipChange> replaceDataFolder(const GroupState& group) const;
    std::optional<MembershipChange> removeLostDataFolder(const GroupState& group) const;
    std::optional<MembershipChange> removeGoneMembers(const GroupState& group) const;
    std::optional<MembershipChange> admitLearner(const GroupState& group) const;
    bool exceedsRegularSize(const GroupState& group) const { return static_cast<int>(group.members.size()) > m_options.maxMembers; }
    // Whether members were removed from a group that exceeded its regular size, so that it is smaller now.
    bool isReduced(const GroupState& group) const { return group.halfMayDecide && !exceedsRegularSize(group); }
    bool halfMayDecide(int members, bool reduced) const;

    MembershipPlannerOptions m_options;
};

} // namespace clementinesill::control

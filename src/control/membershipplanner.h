#pragma once

#include "control/types/groupstate.h"
#include "control/types/membershipchange.h"
#include "control/types/membershipplanneroptions.h"

#include <optional>

namespace clementinesill::control {

// Decides which controllers vote. The leader cannot distinguish a member that is stopped for a while from one that is gone for
// good, so it does not choose between silent members: once enough others respond, with the learners that wait for a place, all
// silent members are removed at once. A removed controller that returns is a learner like any other.
//
// With five regular members and a spare one, a learner is admitted as the sixth voter while all five respond: one of the six may be
// removed without notice, at the same time as others are lost. If one of the six is silent, the other five go on without it; if two
// are, the other four. Four commit with three, as five do. In a group of six, and in such a group of four, half of the members may
// decide if a data folder is known to be lost.
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
    std::optional<MembershipChange> replaceSilentMembers(const GroupState& group) const;
    std::optional<MembershipChange> admitLearner(const GroupState& group) const;
    // Adds learners that have not been members until the group has its largest size.
    void admitNewLearners(MembershipChange& change, const GroupState& group) const;
    // Whether silent members may be removed though no learner takes their places.
    bool mayShrink(const GroupState& group) const { return exceedsRegularSize(group) || group.removedMemberMayReturn; }
    // Whether the group has not had its regular size yet.
    bool isForming(const GroupState& group) const { return static_cast<int>(group.members.size()) < m_options.maxMembers && !isReduced(group); }
    bool exceedsRegularSize(const GroupState& group) const { return static_cast<int>(group.members.size()) > m_options.maxMembers; }
    int largestSize() const { return m_options.maxMembers + m_options.spareMembers; }
    // A group with spare members may lack one: commits take as many members as in a group of regular size, which is odd.
    int smallestSize() const { return m_options.maxMembers - (m_options.spareMembers ? 1 : 0); }
    // Whether silent members were removed, so that the group is smaller than its regular size.
    bool isReduced(const GroupState& group) const { return group.halfMayDecide && !exceedsRegularSize(group); }
    bool halfMayDecide(int members, bool reduced) const;

    MembershipPlannerOptions m_options;
};

} // namespace clementinesill::control

#include "control/membershipplanner.h"

#include <algorithm>
#include <array>

namespace clementinesill::control {

namespace {

using Members = std::vector<MemberState>;

bool hasAbsentMember(const Members& members)
{
    return std::any_of(members.begin(), members.end(), [](const auto& state) { return state.isAbsent; });
}

bool allRespond(const Members& members)
{
    return std::all_of(members.begin(), members.end(), [](const auto& state) { return state.isResponding; });
}

// Whether each member either responds or is silent.
bool isEachMemberKnown(const Members& members)
{
    return std::all_of(members.begin(), members.end(), [](const auto& state) { return state.isResponding || state.isSilent; });
}

bool isMember(const Members& members, const schema::Member& learner)
{
    return std::any_of(members.begin(), members.end(), [&](const auto& state) { return state.member.name() == learner.name(); });
}

void admit(MembershipChange& change, const schema::Member& learner)
{
    change.added.push_back(learner.name());
    *change.membership.add_members() = learner;
}

template <typename Predicate>
MembershipChange changeWithout(const Members& members, Predicate isRemoved, std::string reason)
{
    MembershipChange change { .reason = std::move(reason) };
    for (const auto& state : members) {
        if (isRemoved(state))
            change.removed.push_back(state.member.name());
        else
            *change.membership.add_members() = state.member;
    }
    return change;
}

} // namespace

std::optional<MembershipChange> MembershipPlanner::nextChange(const GroupState& group) const
{
    using Step = std::optional<MembershipChange> (MembershipPlanner::*)(const GroupState&) const;
    constexpr std::array<Step, 4> steps { &MembershipPlanner::replaceDataFolder, &MembershipPlanner::removeLostDataFolder, &MembershipPlanner::replaceSilentMembers, &MembershipPlanner::admitLearner };
    for (const auto step : steps) {
        if (auto change = (this->*step)(group)) {
            const auto size = change->membership.members_size();
            const bool reducesGroup = change->removesSilentMembers && size < m_options.maxMembers;
            change->membership.set_half_may_decide(halfMayDecide(size, isReduced(group) || reducesGroup));
            change->membership.set_removed_members_may_return(change->removesSilentMembers || group.removedMemberMayReturn);
            return change;
        }
    }
    return std::nullopt;
}

bool MembershipPlanner::halfMayDecide(int members, bool reduced) const
{
    return m_options.spareMembers && members % 2 == 0 && (members > m_options.maxMembers || reduced);
}

// In one step, so that a group of which half may decide keeps its size.
std::optional<MembershipChange> MembershipPlanner::replaceDataFolder(const GroupState& group) const
{
    const auto& learners = group.learners;
    const auto learner = std::find_if(learners.begin(), learners.end(), [&](const auto& candidate) { return isMember(group.members, candidate); });
    if (!group.halfMayDecide || learner == learners.end())
        return std::nullopt;
    auto change = changeWithout(
        group.members, [&](const auto& state) { return state.member.name() == learner->name(); }, "its data folder was replaced");
    admit(change, *learner);
    return change;
}

// The controller becomes a learner and is admitted again once it holds the log. A majority of the others must respond.
std::optional<MembershipChange> MembershipPlanner::removeLostDataFolder(const GroupState& group) const
{
    const auto& members = group.members;
    const auto lost = std::find_if(members.begin(), members.end(), [](const auto& state) { return state.hasLostDataFolder; });
    const auto responding = std::count_if(members.begin(), members.end(), [](const auto& state) { return state.isResponding; });
    if (group.halfMayDecide || lost == members.end() || responding * 2 <= static_cast<int>(members.size()) - 1)
        return std::nullopt;
    return changeWithout(
        members, [&](const auto& state) { return &state == &*lost; }, "its data folder was replaced");
}

// Removes all of them at once: which of them will return is not known, and one that stayed could be gone for good while one that was
// removed returns. A removed member that returns is a learner and is admitted again.
std::optional<MembershipChange> MembershipPlanner::replaceSilentMembers(const GroupState& group) const
{
    const auto& members = group.members;
    if (isForming(group) || !isEachMemberKnown(members))
        return std::nullopt;
    auto change = changeWithout(
        members, [](const auto& state) { return state.isSilent; }, "it does not respond, and the others are enough");
    admitNewLearners(change, group);
    const auto size = change.membership.members_size();
    if (change.removed.empty() || size < smallestSize() || (change.added.empty() && !mayShrink(group)))
        return std::nullopt;
    // A removed member that returns soon finds a place. Without a learner, a short pause of two must not reduce the group to four.
    const bool mayReplaceAtOnce = m_options.spareMembers && (size >= m_options.maxMembers || !change.added.empty());
    if (!mayReplaceAtOnce && !hasAbsentMember(members) && !group.removedMemberMayReturn)
        return std::nullopt;
    change.removesSilentMembers = true;
    return change;
}

void MembershipPlanner::admitNewLearners(MembershipChange& change, const GroupState& group) const
{
    for (const auto& learner : group.learners) {
        if (change.membership.members_size() < largestSize() && !isMember(group.members, learner))
            admit(change, learner);
    }
}

// A group of regular size or a reduced one grows only while all members respond; otherwise the learner replaces the silent ones.
std::optional<MembershipChange> MembershipPlanner::admitLearner(const GroupState& group) const
{
    const auto& members = group.members;
    const auto& learners = group.learners;
    const auto learner = std::find_if(learners.begin(), learners.end(), [&](const auto& candidate) { return !isMember(members, candidate); });
    const bool isFull = static_cast<int>(members.size()) >= largestSize();
    if (learner == learners.end() || isFull || !(isForming(group) || allRespond(members)))
        return std::nullopt;
    auto change = changeWithout(
        members, [](const auto&) { return false; }, {});
    admit(change, *learner);
    return change;
}

} // namespace clementinesill::control

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

bool hasSilentMember(const Members& members)
{
    return std::any_of(members.begin(), members.end(), [](const auto& state) { return !state.isResponding; });
}

// Whether all members respond except the absent ones.
bool allOthersRespond(const Members& members)
{
    return std::all_of(members.begin(), members.end(), [](const auto& state) { return state.isAbsent || state.isResponding; });
}

bool isMember(const Members& members, const schema::Member& learner)
{
    return std::any_of(members.begin(), members.end(), [&](const auto& state) { return state.member.name() == learner.name(); });
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
    constexpr std::array<Step, 4> steps { &MembershipPlanner::replaceDataFolder, &MembershipPlanner::removeLostDataFolder, &MembershipPlanner::removeGoneMembers, &MembershipPlanner::admitLearner };
    for (const auto step : steps) {
        if (auto change = (this->*step)(group)) {
            change->membership.set_half_may_decide(halfMayDecide(change->membership.members_size(), isReduced(group) || change->reducesGroup));
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
    change.added.push_back(learner->name());
    *change.membership.add_members() = *learner;
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

// All of them at once: one that stayed could be gone for good while one that was removed returns.
std::optional<MembershipChange> MembershipPlanner::removeGoneMembers(const GroupState& group) const
{
    auto change = changeWithout(
        group.members, [](const auto& state) { return state.isGone; }, "it has not responded for the removal timeout, and a learner has been admitted");
    const auto remaining = change.membership.members_size();
    const auto responding = std::count_if(group.members.begin(), group.members.end(), [](const auto& state) { return state.isResponding; });
    if (!exceedsRegularSize(group) || change.removed.empty() || responding * 2 <= remaining)
        return std::nullopt;
    change.reducesGroup = remaining < m_options.maxMembers;
    return change;
}

std::optional<MembershipChange> MembershipPlanner::admitLearner(const GroupState& group) const
{
    const auto& learners = group.learners;
    const auto learner = std::find_if(learners.begin(), learners.end(), [&](const auto& candidate) { return !isMember(group.members, candidate); });
    if (learner == learners.end())
        return std::nullopt;
    // A reduced group does not grow while a member is silent, since that one may be gone for good.
    const bool isFull = static_cast<int>(group.members.size()) >= m_options.maxMembers + m_options.spareMembers;
    const bool replacesAbsentMembers = isFull || (isReduced(group) && hasSilentMember(group.members));
    if (replacesAbsentMembers && !(hasAbsentMember(group.members) && allOthersRespond(group.members)))
        return std::nullopt;
    auto change = changeWithout(
        group.members, [&](const auto& state) { return replacesAbsentMembers && state.isAbsent; }, "it does not respond, and a learner takes its place");
    change.added.push_back(learner->name());
    *change.membership.add_members() = *learner;
    return change;
}

} // namespace clementinesill::control

#include "tests/discoveredgroup.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <rapidcheck.h>

using namespace clementinesill;
using namespace clementinesill::control;

namespace {

bool hasApplied(const RecordingMachine& machine, const std::string& command)
{
    return std::any_of(machine.applied.begin(), machine.applied.end(), [&](const auto& line) { return line.ends_with(" " + command); });
}

// Five voters, and a controller that has not been started.
class FiveVoters : public DiscoveredGroup {
public:
    static constexpr std::size_t successor = 3;

    explicit FiveVoters(std::uint64_t seed)
        : DiscoveredGroup(memberCount + 1, seed)
    {
        wipeDataFolder(successor);
        const bool complete = runAndJoinUntil([&] { return membersAre({ 0, 1, 2, 4, 5 }); });
        CHECK(complete);
        firstStart = false;
        // The first seed always bootstraps the group; after this any controller may lead.
        const auto first = *leader();
        kill(first);
        CHECK(runAndJoinUntil([&] { return leader().has_value(); }));
        startAndJoin(first);
        runFor(std::chrono::seconds(2));
    }

    // A running voter that does not lead.
    std::size_t randomFollower()
    {
        CHECK(runAndJoinUntil([&] { return leader().has_value(); }));
        const auto leading = *leader();
        auto index = leading;
        while (index == leading || !replicas[index]->log || !isVoter(index))
            index = random.below(replicas.size());
        return index;
    }

    // Two voters, among them perhaps the leader, lose their disks, and all controllers lose power for a second. Those that
    // have stopped for good do not return.
    void loseTwoDisksAndAllPower(const std::set<std::size_t>& stopped = {})
    {
        const auto first = randomFollower();
        auto second = random.below(2) ? *leader() : randomFollower();
        while (second == first)
            second = randomFollower();
        loseDisks({ first, second }, stopped, true);
    }

    // Two running controllers lose their disks and are back after a second; the others lose power with them if allPower is set.
    void loseTwoDisks(const std::set<std::size_t>& stopped, bool allPower)
    {
        std::set<std::size_t> lost;
        while (lost.size() < 2) {
            const auto index = random.below(replicas.size());
            if (!stopped.contains(index))
                lost.insert(index);
        }
        loseDisks({ lost.begin(), lost.end() }, stopped, allPower);
    }

    // Whether a leader is elected within the time.
    bool returnsWithin(Duration time)
    {
        const auto deadline = clock.now() + time;
        while (clock.now() < deadline && !leader())
            advanceAndJoin(std::chrono::milliseconds(20));
        return leader().has_value();
    }

    // The leader loses its disk and is back after the duration.
    void wipeLeader(Duration duration)
    {
        CHECK(runAndJoinUntil([&] { return leader().has_value(); }));
        const auto index = *leader();
        wipeDataFolder(index);
        runFor(duration);
        startAndJoin(index);
    }

private:
    void loseDisks(const std::vector<std::size_t>& lost, const std::set<std::size_t>& stopped, bool allPower)
    {
        for (const auto index : lost)
            wipeDataFolder(index);
        for (std::size_t index = 0; allPower && index < replicas.size(); ++index)
            kill(index);
        runFor(std::chrono::seconds(1));
        for (std::size_t index = 0; index < replicas.size(); ++index) {
            if (!stopped.contains(index))
                startAndJoin(index);
        }
    }
};

} // namespace

// clang-format off
TEST_GROUP(GroupDiscovery) {};
// clang-format on

TEST(GroupDiscovery, SeedsBootstrapGroupInAnyStartOrderAndOthersJoin)
{
    CHECK(rc::check("any start order results in one group of five", [](std::uint64_t seed) {
        DiscoveredGroup group(5, seed);
        for (std::size_t index = 0; index < 5; ++index)
            group.kill(index);
        for (std::size_t started = 0; started < 5;) {
            const auto index = group.random.below(5);
            if (!group.replicas[index]->log) {
                group.start(index);
                ++started;
            }
            group.advanceAndJoin(std::chrono::milliseconds(group.random.below(300)));
        }
        RC_ASSERT(group.runAndJoinUntil([&] { return group.membersAre({ 0, 1, 2, 3, 4 }); }));
    }));
}

TEST(GroupDiscovery, DoesNotBootstrapFromEmptyDataFoldersAfterFirstStart)
{
    DiscoveredGroup group(3);
    CHECK(group.runAndJoinUntil([&] { return group.membersAre({ 0, 1, 2 }); }));
    group.firstStart = false;
    for (std::size_t index = 0; index < 3; ++index)
        group.wipeDataFolder(index);
    for (std::size_t index = 0; index < 3; ++index)
        group.start(index);
    CHECK_FALSE(group.runAndJoinUntil([&] { return group.leader().has_value(); }));
}

TEST(GroupDiscovery, NonSeedLeaderReadmitsWipedMemberWithoutJoinRequest)
{
    DiscoveredGroup group(5);
    CHECK(group.runAndJoinUntil([&] { return group.membersAre({ 0, 1, 2, 3, 4 }); }));
    group.firstStart = false;
    // Makes a controller that is not a seed the leader.
    group.kill(0);
    group.kill(1);
    CHECK(group.runAndJoinUntil([&] { return group.leader().has_value() && *group.leader() > 1; }));
    while (*group.leader() < 3) {
        const auto leader = *group.leader();
        group.kill(leader);
        group.start(0);
        group.start(1);
        group.runAndJoinUntil([&] { return group.leader().has_value() && *group.leader() != leader; });
        group.start(leader);
    }
    for (std::size_t index = 0; index < 5; ++index)
        group.start(index);
    CHECK(group.runAndJoinUntil([&] { return group.membersAre({ 0, 1, 2, 3, 4 }); }));
    const auto wiped = *group.leader() == 0 ? std::size_t { 1 } : std::size_t { 0 };
    group.wipeDataFolder(wiped);
    group.start(wiped);
    // No join request is needed: the leader keeps sending it the log.
    CHECK(group.runUntil([&] { return group.membersAre({ 0, 1, 2, 3, 4 }); }));
}

TEST(GroupDiscovery, WaitingLearnerReplacesAbsentMember)
{
    DiscoveredGroup group(6);
    CHECK(group.runAndJoinUntil([&] { return group.leader() && group.replicas[*group.leader()]->log->entries().membership()->members_size() == DiscoveredGroup::memberCount; }));
    group.firstStart = false;
    std::size_t learner = 0;
    while (group.replicas[learner]->log->role() != ReplicaRole::Learner)
        ++learner;
    const auto absent = *group.leader();
    group.kill(absent);
    std::set<std::size_t> expected { 0, 1, 2, 3, 4, 5 };
    expected.erase(absent);
    CHECK(group.runAndJoinUntil([&] { return group.membersAre(expected); }));
}

TEST(GroupDiscovery, KeepsAbsentMemberWhileNoLearnerWaits)
{
    DiscoveredGroup group(5);
    CHECK(group.runAndJoinUntil([&] { return group.membersAre({ 0, 1, 2, 3, 4 }); }));
    group.kill(4);
    for (int round = 0; round < 400; ++round)
        group.advanceAndJoin(std::chrono::milliseconds(50));
    LONGS_EQUAL(DiscoveredGroup::memberCount, group.replicas[*group.leader()]->log->entries().membership()->members_size());
}

TEST(GroupDiscovery, CommittedCommandsSurviveTwoLostDataFoldersAndFullRestart)
{
    CHECK(rc::check("repeatedly losing two disks at once loses no committed command", [](std::uint64_t seed) {
        DiscoveredGroup group(6, seed);
        RC_ASSERT(group.runAndJoinUntil([&] { return group.leader() && group.replicas[*group.leader()]->log->entries().membership()->members_size() == DiscoveredGroup::memberCount; }));
        group.firstStart = false;
        std::vector<std::string> committed;
        for (int round = 0; round < 4; ++round) {
            const auto command = "command-" + std::to_string(round);
            RC_ASSERT(group.runAndJoinUntil([&] { return group.commit(command); }));
            committed.push_back(command);
            const auto first = group.random.below(6);
            const auto second = group.random.below(6);
            group.wipeDataFolder(first);
            group.wipeDataFolder(second);
            if (group.random.below(2)) {
                for (std::size_t index = 0; index < 6; ++index)
                    group.kill(index);
            }
            for (std::size_t index = 0; index < 6; ++index)
                group.start(index);
            RC_ASSERT(group.runAndJoinUntil([&] { return group.currentVoters() >= DiscoveredGroup::memberCount; }));
            const auto& machine = group.replicas[*group.leader()]->machine;
            for (const auto& line : committed)
                RC_ASSERT(hasApplied(machine, line));
            // Gives the members of the group time to receive the log again before the next loss.
            for (int wait = 0; wait < 80; ++wait)
                group.advanceAndJoin(std::chrono::milliseconds(50));
        }
    }));
}

// Issue 29: the last leader sent the log to a learner that it did not know, and kept the dead voter.
TEST(GroupDiscovery, LearnerOfFormerLeaderReplacesDeadMember)
{
    CHECK(rc::check("the leader fails while a former voter is a learner", [](std::uint64_t seed) {
        FiveVoters group(seed);
        group.startAndJoin(FiveVoters::successor);
        group.runFor(std::chrono::seconds(2));
        // The additional controller takes the place of a voter whose disk is lost, and that voter becomes a learner of this
        // leader.
        const auto wiped = group.randomFollower();
        group.wipeDataFolder(wiped);
        group.startAndJoin(wiped);
        group.runFor(std::chrono::milliseconds(300));
        const auto dead = group.randomFollower();
        group.kill(dead);
        RC_PRE(group.leader().has_value());
        const auto former = *group.leader();
        group.kill(former);
        RC_ASSERT(group.runAndJoinUntil([&] { return group.leader().has_value(); }));
        group.startAndJoin(former);
        RC_ASSERT(group.runAndJoinUntil([&] { return !group.isVoter(dead); }));
    }));
}

// Within the catch-up time, the successor votes, and the dead member is not needed any more: the group tolerates two lost disks.
TEST(GroupDiscovery, DeadMemberIsReplacedWithinCatchUpTimeThoughLeaderChanges)
{
    CHECK(rc::check("the leader fails at any time after the successor has started", [](std::uint64_t seed) {
        FiveVoters group(seed);
        const auto dead = group.randomFollower();
        group.kill(dead);
        group.runFor(std::chrono::seconds(1));
        group.startAndJoin(FiveVoters::successor);
        const auto deadline = group.clock.now() + FiveVoters::catchUpTime;
        group.runFor(std::chrono::milliseconds(group.random.below(2500)));
        RC_ASSERT(group.runAndJoinUntil([&] { return group.leader().has_value(); }));
        const auto former = *group.leader();
        group.kill(former);
        while (group.clock.now() < deadline)
            group.advanceAndJoin(std::chrono::milliseconds(20));
        RC_ASSERT(group.leader().has_value());
        RC_ASSERT(group.isVoter(FiveVoters::successor));
        RC_ASSERT(group.runAndJoinUntil([&] { return group.commit("acknowledged"); }));
        group.loseTwoDisksAndAllPower({ dead });
        RC_ASSERT(group.returnsWithin(FiveVoters::recoveryTime));
        RC_ASSERT(hasApplied(group.replicas[*group.leader()]->machine, "acknowledged"));
    }));
}

// While a voter is only down, its disk counts: with those of two others it must still hold a majority.
TEST(GroupDiscovery, GroupReturnsFromTwoLostDisksWhileAbsentMemberIsReplaced)
{
    CHECK(rc::check("two disks are lost after any change of the members", [](std::uint64_t seed) {
        FiveVoters group(seed);
        group.startAndJoin(FiveVoters::successor);
        group.runFor(std::chrono::seconds(2));
        const auto absent = group.randomFollower();
        group.kill(absent);
        RC_ASSERT(group.runAndJoinUntil([&] { return group.commit("acknowledged"); }));
        const auto changes = group.random.below(3);
        for (std::uint64_t change = 0; change <= changes && group.isVoter(absent); ++change) {
            const auto& entries = group.replicas[*group.leader()]->log->entries();
            const auto index = entries.membershipIndex();
            RC_ASSERT(group.runAndJoinUntil([&] { return entries.membershipIndex() != index; }));
        }
        group.loseTwoDisksAndAllPower();
        RC_ASSERT(group.returnsWithin(FiveVoters::recoveryTime));
        RC_ASSERT(hasApplied(group.replicas[*group.leader()]->machine, "acknowledged"));
    }));
}

// Issue 29: a controller stops for good, and the next two leaders lose their disks.
TEST(GroupDiscovery, GroupReturnsFromTwoLostDisksAfterControllersWereReplacedInSeries)
{
    CHECK(rc::check("two disks are lost and all controllers lose power", [](std::uint64_t seed) {
        FiveVoters group(seed);
        const auto dead = group.randomFollower();
        group.kill(dead);
        group.runFor(std::chrono::seconds(1));
        group.startAndJoin(FiveVoters::successor);
        group.runFor(std::chrono::seconds(2));
        group.wipeLeader(std::chrono::milliseconds(2600));
        group.runFor(std::chrono::milliseconds(2500 + group.random.below(700)));
        group.wipeLeader(std::chrono::seconds(2));
        group.runFor(std::chrono::milliseconds(4000 + group.random.below(1000)));
        RC_ASSERT(group.runAndJoinUntil([&] { return group.commit("acknowledged"); }));
        group.loseTwoDisksAndAllPower({ dead });
        RC_ASSERT(group.returnsWithin(FiveVoters::recoveryTime));
        RC_ASSERT(hasApplied(group.replicas[*group.leader()]->machine, "acknowledged"));
    }));
}

TEST(GroupDiscovery, DefaultLeaseDurationIsBelowElectionTimeout)
{
    const ReplicatedLogOptions options;
    CHECK(options.leaseDuration < options.minElectionTimeout);
    CHECK(options.heartbeatInterval * 2 < options.leaseDuration);
}

TEST(GroupDiscovery, TwoLostDisksAfterPlannedReplacementDoNotEndGroup)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FiveVoters group(seed);
        group.startAndJoin(FiveVoters::successor);
        group.runFor(DiscoveredGroup::catchUpTime);
        const auto stopped = seed % 2 ? *group.leader() : group.randomFollower();
        group.stopAsPlanned(stopped);
        group.runFor(std::chrono::milliseconds(500));
        CHECK(group.leader().has_value());
        CHECK(group.commit("change after the planned stop"));
        group.loseTwoDisksAndAllPower({ stopped });
        CHECK_TEXT(group.returnsWithin(DiscoveredGroup::recoveryTime), ("seed " + std::to_string(seed)).c_str());
        CHECK(hasApplied(group.replicas[*group.leader()]->machine, "change after the planned stop"));
    }
}

// Guards against a removed controller whose vote still counts: two disks lost with it or soon after ended the group, although its
// successor had caught up (review/3).
TEST(GroupDiscovery, TwoDisksLostAtAnyTimeAfterRemovalWithoutNoticeDoNotEndGroup)
{
    CHECK(rc::check("a controller is removed without notice, and two others lose their disks", [](std::uint64_t seed) {
        FiveVoters group(seed);
        group.startAndJoin(FiveVoters::successor);
        group.runFor(DiscoveredGroup::catchUpTime);
        RC_ASSERT(group.runAndJoinUntil([&] { return group.commit("acknowledged before the removal"); }));
        const auto removed = group.random.below(2) ? *group.leader() : group.randomFollower();
        group.kill(removed);
        group.runFor(std::chrono::milliseconds(group.random.below(2000)));
        const bool committed = group.leader() && group.commit("acknowledged after the removal");
        group.loseTwoDisks({ removed }, group.random.below(2) == 0);
        RC_ASSERT(group.returnsWithin(DiscoveredGroup::recoveryTime));
        RC_ASSERT(group.runAndJoinUntil([&] { return group.commit("acknowledged after the losses"); }));
        const auto& machine = group.replicas[*group.leader()]->machine;
        RC_ASSERT(hasApplied(machine, "acknowledged before the removal"));
        RC_ASSERT(!committed || hasApplied(machine, "acknowledged after the removal"));
    }));
}

// Guards against a change of the members that is committed by a majority of the new ones only: the other half of the six, which has not
// received it, could elect a leader by the membership before it.
TEST(GroupDiscovery, HalfThatMissedChangeOfMembersLosesNoCommittedCommand)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FiveVoters group(seed);
        group.startAndJoin(FiveVoters::successor);
        group.runFor(DiscoveredGroup::catchUpTime);
        const auto leader = *group.leader();
        std::vector<std::size_t> followers;
        for (std::size_t index = 0; index < group.replicas.size(); ++index) {
            if (index != leader)
                followers.push_back(index);
        }
        const auto leaving = followers[0];
        const std::set<std::size_t> otherHalf { leaving, followers[1], followers[2] };
        const auto wiped = followers[3];
        const auto separate = [&](const std::set<std::size_t>& side) {
            group.partitions.clear();
            for (const auto inside : side) {
                for (std::size_t outside = 0; outside < group.replicas.size(); ++outside) {
                    if (!side.contains(outside))
                        group.partitions.insert({ inside, outside });
                }
            }
        };
        // Only the leader learns that the controller leaves, and only its own half can receive the change.
        schema::LeaveGroupRequest announcement;
        group.runOn(leaving, [&](auto& log) { announcement = log.leaveGroup(); });
        separate(otherHalf);
        group.runOn(leader, [&](auto& log) { log.onLeaveGroup(announcement); });
        group.runFor(std::chrono::milliseconds(100));
        const bool committed = group.leader() == leader && group.commit("during the partition");
        group.kill(leaving);
        group.startAndJoin(leaving);
        group.wipeDataFolder(wiped);
        separate({ leader, followers[4] });
        group.runFor(std::chrono::seconds(1));
        group.startAndJoin(wiped);
        CHECK(group.returnsWithin(DiscoveredGroup::recoveryTime));
        CHECK(otherHalf.contains(*group.leader()));
        CHECK(group.runAndJoinUntil([&] { return group.commit("after the partition"); }));
        group.partitions.clear();
        group.runFor(std::chrono::seconds(3));
        CHECK(group.leader().has_value());
        const auto& machine = group.replicas[*group.leader()]->machine;
        CHECK(hasApplied(machine, "after the partition"));
        CHECK(!committed || hasApplied(machine, "during the partition"));
    }
}

TEST(GroupDiscovery, ControllerThatRestartsAfterPlannedStopKeepsItsVoteIfNoLearnerWaits)
{
    FiveVoters group(1);
    const auto stopped = group.randomFollower();
    group.stopAsPlanned(stopped);
    group.runFor(std::chrono::milliseconds(300));
    group.startAndJoin(stopped);
    group.runFor(std::chrono::seconds(1));
    CHECK(group.isVoter(stopped));
    CHECK(group.membersAre({ 0, 1, 2, 4, 5 }));
}

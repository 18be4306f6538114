#include "tests/discoveredgroup.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <rapidcheck.h>

using namespace clementinesill;
using namespace clementinesill::control;

namespace {

bool applied(const RecordingMachine& machine, const std::string& command)
{
    return std::any_of(machine.applied.begin(), machine.applied.end(), [&](const auto& line) { return line.ends_with(" " + command); });
}

} // namespace

// clang-format off
TEST_GROUP(GroupDiscovery) {};
// clang-format on

TEST(GroupDiscovery, SeedsFormTheGroupInAnyOrderAndOthersJoin)
{
    CHECK(rc::check("any start order gives one group of five", [](std::uint64_t seed) {
        DiscoveredGroup group(5, seed);
        for (std::size_t index = 0; index < 5; ++index)
            group.kill(index);
        for (std::size_t started = 0; started < 5;) {
            const auto index = group.random.below(5);
            if (!group.replicas[index]->log) {
                group.start(index);
                ++started;
            }
            group.passAndJoin(std::chrono::milliseconds(group.random.below(300)));
        }
        RC_ASSERT(group.settleAndJoin([&] { return group.membersAre({ 0, 1, 2, 3, 4 }); }));
    }));
}

TEST(GroupDiscovery, AnEmptyDiskNeverFormsAGroupAfterTheFirstStart)
{
    DiscoveredGroup group(3);
    CHECK(group.settleAndJoin([&] { return group.membersAre({ 0, 1, 2 }); }));
    group.firstStart = false;
    for (std::size_t index = 0; index < 3; ++index)
        group.loseDisk(index);
    for (std::size_t index = 0; index < 3; ++index)
        group.start(index);
    CHECK_FALSE(group.settleAndJoin([&] { return group.leader().has_value(); }));
}

TEST(GroupDiscovery, ALeaderThatIsNoSeedTakesAWipedMemberInAgainBeforeTheNextLoss)
{
    DiscoveredGroup group(5);
    CHECK(group.settleAndJoin([&] { return group.membersAre({ 0, 1, 2, 3, 4 }); }));
    group.firstStart = false;
    // A controller that did not form the group leads.
    group.kill(0);
    group.kill(1);
    CHECK(group.settleAndJoin([&] { return group.leader().has_value() && *group.leader() > 1; }));
    while (*group.leader() < 3) {
        const auto leader = *group.leader();
        group.kill(leader);
        group.start(0);
        group.start(1);
        group.settleAndJoin([&] { return group.leader().has_value() && *group.leader() != leader; });
        group.start(leader);
    }
    for (std::size_t index = 0; index < 5; ++index)
        group.start(index);
    CHECK(group.settleAndJoin([&] { return group.membersAre({ 0, 1, 2, 3, 4 }); }));
    const auto wiped = *group.leader() == 0 ? std::size_t { 1 } : std::size_t { 0 };
    group.loseDisk(wiped);
    group.start(wiped);
    // No join is asked for: the leader goes on sending it the log.
    CHECK(group.settle([&] { return group.membersAre({ 0, 1, 2, 3, 4 }); }));
}

TEST(GroupDiscovery, AControllerThatWaitsTakesThePlaceOfOneThatIsGone)
{
    DiscoveredGroup group(6);
    CHECK(group.settleAndJoin([&] { return group.leader() && group.replicas[*group.leader()]->log->entries().membership()->members_size() == DiscoveredGroup::members; }));
    group.firstStart = false;
    std::size_t spare = 0;
    while (group.replicas[spare]->log->role() != ReplicaRole::Learner)
        ++spare;
    const auto gone = *group.leader();
    group.kill(gone);
    std::set<std::size_t> expected { 0, 1, 2, 3, 4, 5 };
    expected.erase(gone);
    CHECK(group.settleAndJoin([&] { return group.membersAre(expected); }));
}

TEST(GroupDiscovery, AnAbsentMemberKeepsItsPlaceWhileNobodyWaits)
{
    DiscoveredGroup group(5);
    CHECK(group.settleAndJoin([&] { return group.membersAre({ 0, 1, 2, 3, 4 }); }));
    group.kill(4);
    for (int round = 0; round < 400; ++round)
        group.passAndJoin(std::chrono::milliseconds(50));
    LONGS_EQUAL(DiscoveredGroup::members, group.replicas[*group.leader()]->log->entries().membership()->members_size());
}

TEST(GroupDiscovery, WhatWasAcceptedSurvivesTwoLostDisksAndARestartOfAll)
{
    CHECK(rc::check("two disks lost at once, again and again, lose nothing", [](std::uint64_t seed) {
        DiscoveredGroup group(6, seed);
        RC_ASSERT(group.settleAndJoin([&] { return group.leader() && group.replicas[*group.leader()]->log->entries().membership()->members_size() == DiscoveredGroup::members; }));
        group.firstStart = false;
        std::vector<std::string> accepted;
        for (int round = 0; round < 4; ++round) {
            const auto command = "command-" + std::to_string(round);
            RC_ASSERT(group.settleAndJoin([&] { return group.accept(command); }));
            accepted.push_back(command);
            const auto first = group.random.below(6);
            const auto second = group.random.below(6);
            group.loseDisk(first);
            group.loseDisk(second);
            if (group.random.below(2)) {
                for (std::size_t index = 0; index < 6; ++index)
                    group.kill(index);
            }
            for (std::size_t index = 0; index < 6; ++index)
                group.start(index);
            RC_ASSERT(group.settleAndJoin([&] {
                if (!group.leader())
                    return false;
                const auto& log = *group.replicas[*group.leader()]->log;
                return log.entries().membership()->members_size() == DiscoveredGroup::members && log.entries().membershipIndex() <= log.commitIndex();
            }));
            const auto& machine = group.replicas[*group.leader()]->machine;
            for (const auto& line : accepted)
                RC_ASSERT(applied(machine, line));
            // What was lost counts as back once the members of the group hold the log again.
            for (int wait = 0; wait < 80; ++wait)
                group.passAndJoin(std::chrono::milliseconds(50));
        }
    }));
}

TEST(GroupDiscovery, ALeaseEndsBeforeAnotherLeaderMayBeElected)
{
    const ReplicatedLogOptions options;
    CHECK(options.lease < options.shortestElectionTimeout);
    CHECK(options.heartbeat * 2 < options.lease);
}

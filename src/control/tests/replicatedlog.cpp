#include "control/replicatedlog.h"

#include "tests/replicagroup.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>
#include <rapidcheck.h>

using namespace clementinesill;
using namespace clementinesill::control;

namespace {

bool hasApplied(const RecordingMachine& machine, const std::string& command)
{
    return std::any_of(machine.applied.begin(), machine.applied.end(), [&](const auto& line) { return line.ends_with(" " + command); });
}

// Runs a schedule of random failures and checks the invariants after every step.
class RandomSchedule {
public:
    // Replicas beyond the maximum and the spare members are learners that replace absent members.
    RandomSchedule(std::size_t count, std::uint64_t seed, int maxMembers, int spareMembers = 0)
        : m_group(count, seed, [=](std::size_t, auto& options) { options.maxMembers = maxMembers; options.spareMembers = spareMembers; options.memberAbsenceTimeout = std::chrono::milliseconds(1500); })
        , m_hasLearners(static_cast<int>(count) > maxMembers + spareMembers)
        , m_losesTwoFolders(spareMembers && maxMembers == 5)
    {
        m_group.maxBatchBytes = seed % 2 ? 1 : m_group.maxBatchBytes;
    }

    void run(int steps)
    {
        for (int step = 0; step < steps; ++step) {
            performRandomAction();
            checkInvariants();
        }
    }

    // Ends all failures; afterwards every entry that was ever applied must be applied on all replicas.
    void heal()
    {
        m_group.partitions.clear();
        for (std::size_t index = 0; index < m_group.replicas.size(); ++index) {
            m_group.replicas[index]->files.powerLossAt = 0;
            m_group.replicas[index]->files.full = false;
            m_group.start(index);
        }
        RC_ASSERT(m_group.runUntil([&] { return (m_hasLearners ? m_group.leader().has_value() : m_group.allReplicasAreMembers()) && statesMatch(); }));
        checkInvariants();
        const auto& applied = m_group.replicas.front()->machine.applied;
        for (const auto& [index, line] : m_appliedByIndex)
            RC_ASSERT(index <= applied.size() && applied[index - 1] == line);
    }

private:
    void performRandomAction()
    {
        auto& random = m_group.random;
        const auto index = random.below(m_group.replicas.size());
        switch (random.below(200)) {
        case 0:
            m_group.kill(index);
            break;
        case 1:
            m_group.replicas[index]->files.powerLossAt = m_group.replicas[index]->files.writes + 1 + random.below(12);
            break;
        case 2:
        case 3:
            m_group.start(index);
            break;
        case 4:
            togglePartition(index, random.below(m_group.replicas.size()));
            break;
        case 5:
            m_group.partitions.clear();
            break;
        case 6:
            // A majority does not survive the loss of a second data folder before the first one is replaced.
            if (!m_group.allReplicasAreMembers())
                break;
            m_group.wipeDataFolder(index);
            if (m_losesTwoFolders)
                m_group.wipeDataFolder(random.below(m_group.replicas.size()));
            break;
        case 7:
        case 8:
        case 9:
            if (!m_group.queue.empty())
                m_group.deliver(random.below(m_group.queue.size()));
            break;
        case 10:
            if (!m_group.queue.empty())
                m_group.queue.erase(m_group.queue.begin() + static_cast<std::ptrdiff_t>(random.below(m_group.queue.size())));
            break;
        case 11:
        case 12:
            m_group.replicas[index]->files.full = !m_group.replicas[index]->files.full;
            break;
        default:
            exchangeMessages(index);
        }
    }

    void exchangeMessages(std::size_t index)
    {
        auto& random = m_group.random;
        if (random.below(8) == 0)
            m_group.propose(m_group.leader().value_or(index), "change " + std::to_string(++m_changes));
        if (random.below(3) == 0)
            m_group.advance(std::chrono::milliseconds(20 + random.below(150)));
        // Mostly in order, as between two peers; sometimes reordered.
        for (int count = 0; count < 4 && !m_group.queue.empty(); ++count)
            m_group.deliver(random.below(4) ? 0 : random.below(m_group.queue.size()));
    }

    void togglePartition(std::size_t left, std::size_t right)
    {
        if (!m_group.partitions.erase({ left, right }))
            m_group.partitions.insert({ left, right });
    }

    void checkInvariants()
    {
        int validLeases = 0;
        for (const auto& replica : m_group.replicas) {
            if (!replica->log)
                continue;
            if (replica->log->role() == ReplicaRole::Leader)
                RC_ASSERT(m_leaders.try_emplace(replica->log->term(), replica->name).first->second == replica->name);
            validLeases += replica->log->hasValidLease();
            const auto& applied = replica->machine.applied;
            for (std::size_t index = 0; index < applied.size(); ++index)
                RC_ASSERT(m_appliedByIndex.try_emplace(index + 1, applied[index]).first->second == applied[index]);
        }
        RC_ASSERT(validLeases <= 1);
    }

    bool statesMatch() const
    {
        return std::all_of(m_group.replicas.begin(), m_group.replicas.end(), [&](const auto& replica) {
            return replica->machine.applied == m_group.replicas.front()->machine.applied && replica->machine.applied.size() >= m_appliedByIndex.size();
        });
    }

    ReplicaGroup m_group;
    bool m_hasLearners;
    bool m_losesTwoFolders;
    int m_changes = 0;
    std::map<std::uint64_t, std::string> m_leaders;
    // Every command applied by any state machine, by index.
    std::map<std::size_t, std::string> m_appliedByIndex;
};

} // namespace

// clang-format off
TEST_GROUP(ReplicatedLog) {};
// clang-format on

TEST(ReplicatedLog, RandomFailuresLoseNoCommittedEntry)
{
    CHECK(rc::check("crashes, power losses, partitions, dropped messages, lost data folders and full disks", [](std::uint64_t seed) {
        RandomSchedule schedule(seed % 3 == 0 ? 5 : 3, seed, 7);
        schedule.run(4000);
        schedule.heal();
    }));
}

TEST(ReplicatedLog, RandomFailuresLoseNoCommittedEntryWhileMembersAreReplaced)
{
    CHECK(rc::check("crashes, power losses, partitions, dropped messages and full disks", [](std::uint64_t seed) {
        RandomSchedule schedule(seed % 2 ? 6 : 4, seed, seed % 2 ? 5 : 3);
        schedule.run(4000);
        schedule.heal();
    }));
}

TEST(ReplicatedLog, LosesNoCommittedEntryWhenLeaderFailsAfterFollowerLostDataFolder)
{
    ReplicaGroup group(3);
    CHECK(group.runUntilLeader());
    CHECK(group.runUntil([&] { return group.allReplicasAreMembers(); }));
    const auto leader = *group.leader();
    const auto wiped = (leader + 1) % 3;
    const auto lagging = (leader + 2) % 3;
    // Committed by the leader and one follower; the third replica has not received it.
    group.partitions = { { leader, lagging }, { wiped, lagging } };
    CHECK(group.propose(leader, "committed").index > 0);
    CHECK(group.runUntil([&] { return hasApplied(group.replicas[leader]->machine, "committed"); }));
    // The follower returns without its data folder, and the leader fails right after.
    group.wipeDataFolder(wiped);
    group.start(wiped);
    group.kill(leader);
    group.partitions.clear();
    // The remaining two must not commit anything without the lost entry.
    const bool elected = group.runUntilLeader();
    CHECK_FALSE(elected);
    // With the leader back, nothing is missing.
    group.start(leader);
    CHECK(group.runUntil([&] { return group.allReplicasAreMembers(); }));
    CHECK(group.propose(*group.leader(), "next").index > 0);
    CHECK(group.runUntil([&] {
        return std::all_of(group.replicas.begin(), group.replicas.end(), [](const auto& replica) { return hasApplied(replica->machine, "next"); });
    }));
    for (const auto& replica : group.replicas)
        CHECK(hasApplied(replica->machine, "committed"));
}

TEST(ReplicatedLog, ToleratesSecondDataFolderLossAfterReadmission)
{
    ReplicaGroup group(3);
    CHECK(group.runUntil([&] { return group.allReplicasAreMembers(); }));
    const auto first = *group.leader();
    group.propose(first, "committed");
    const auto wiped = (first + 1) % 3;
    group.wipeDataFolder(wiped);
    group.start(wiped);
    CHECK(group.runUntil([&] { return group.allReplicasAreMembers(); }));
    group.wipeDataFolder(first);
    CHECK(group.runUntilLeader());
    CHECK(group.propose(*group.leader(), "next").index > 0);
    CHECK(group.runUntil([&] { return hasApplied(group.replicas[wiped]->machine, "next"); }));
    CHECK(hasApplied(group.replicas[wiped]->machine, "committed"));
}

TEST(ReplicatedLog, PartitionedLeaderHasNoLeaseOnceAnotherIsElected)
{
    ReplicaGroup group(3);
    CHECK(group.runUntilLeader());
    const auto deposed = *group.leader();
    for (std::size_t other = 0; other < 3; ++other) {
        if (other != deposed)
            group.partitions.insert({ deposed, other });
    }
    CHECK(group.runUntil([&] { return group.leader() && *group.leader() != deposed; }));
    CHECK_FALSE(group.replicas[deposed]->log->hasValidLease());
    LONGS_EQUAL(0, group.propose(deposed, "rejected").index);
    CHECK(group.runUntil([&] { return group.replicas[deposed]->log->role() != ReplicaRole::Leader; }));
}

// Guards against an order that is carried out twice around a change of leader: the former leader is paused with the order in its
// log, the order is repeated at the next leader, and the former one wakes and has not heard of the change yet.
TEST(ReplicatedLog, PausedLeaderThatWakesAcceptsAndAppliesNothing)
{
    ReplicaGroup group(3);
    CHECK(group.runUntilLeader());
    const auto former = *group.leader();
    CHECK(group.propose(former, "order").index != 0);
    group.paused.insert(former);
    CHECK(group.runUntil([&] { return group.leader() && *group.leader() != former; }));
    const auto current = *group.leader();
    const auto index = group.propose(current, "order").index;
    CHECK(index != 0);
    CHECK(group.runUntil([&] { return group.replicas[current]->log->commitIndex() >= index; }));
    group.paused.clear();
    CHECK_FALSE(group.replicas[former]->log->hasValidLease());
    LONGS_EQUAL(0, group.propose(former, "order").index);
    CHECK(group.runUntil([&] { return group.replicas[former]->machine.applied == group.replicas[current]->machine.applied; }));
    for (const auto& replica : group.replicas) {
        const auto& applied = replica->machine.applied;
        LONGS_EQUAL(1, std::count_if(applied.begin(), applied.end(), [](const auto& entry) { return entry.ends_with(" order"); }));
    }
}

// Guards against a slow start after all VMs lose power and return within a second: nothing is served until a leader is
// elected.
TEST(ReplicatedLog, FormerLeaderIsElectedAtOnceAfterFullRestart)
{
    ReplicaGroup group(5);
    CHECK(group.runUntilLeader());
    const auto former = *group.leader();
    for (std::size_t index = 0; index < 5; ++index)
        group.kill(index);
    group.start(former);
    const auto advanceInSteps = [&](int milliseconds) {
        for (int passed = 0; passed < milliseconds; passed += 10) {
            group.advance(std::chrono::milliseconds(10));
            group.deliverAll();
        }
    };
    advanceInSteps(200);
    CHECK_FALSE(group.leader());
    group.start((former + 1) % 5);
    group.start((former + 2) % 5);
    advanceInSteps(100);
    CHECK(group.leader() == former);
}

TEST(ReplicatedLog, DelaysVoteForFormerLeaderAfterContactWithLaterLeader)
{
    ReplicaGroup group(3);
    CHECK(group.runUntilLeader());
    const auto former = *group.leader();
    const auto others = std::pair((former + 1) % 3, (former + 2) % 3);
    group.kill(former);
    CHECK(group.runUntilLeader());
    const auto later = *group.leader();
    const auto voter = later == others.first ? others.second : others.first;
    // The later leader is partitioned and keeps its lease for a while; the voter restarts and has lost its record of the last
    // leader contact.
    group.partitions = { { later, former }, { later, voter } };
    group.kill(voter);
    group.start(voter);
    group.start(former);
    bool overlapping = false;
    CHECK(group.runUntil([&] {
        const auto hasLease = [&](auto index) { return group.replicas[index]->log->hasValidLease(); };
        overlapping = overlapping || (hasLease(later) && (hasLease(former) || hasLease(voter)));
        return hasLease(former) || hasLease(voter);
    }));
    CHECK_FALSE(overlapping);
}

TEST(ReplicatedLog, RestoresExactStateAfterHundredsOfChanges)
{
    ReplicaGroup group(3);
    CHECK(group.runUntilLeader());
    for (int change = 0; change < 500; ++change) {
        group.propose(*group.leader(), "change " + std::to_string(change));
        group.advance(std::chrono::milliseconds(10));
        group.deliverAll();
    }
    CHECK(group.runUntil([&] { return hasApplied(group.replicas[0]->machine, "change 499") && hasApplied(group.replicas[1]->machine, "change 499") && hasApplied(group.replicas[2]->machine, "change 499"); }));
    const auto before = group.replicas[0]->machine.applied;
    for (std::size_t index = 0; index < 3; ++index)
        group.kill(index);
    for (std::size_t index = 0; index < 3; ++index)
        group.start(index);
    CHECK(group.runUntilLeader());
    const auto& after = group.replicas[*group.leader()]->machine.applied;
    CHECK(std::equal(before.begin(), before.end(), after.begin()));
    CHECK(group.runUntil([&] { return group.replicas[0]->machine.applied == group.replicas[1]->machine.applied && group.replicas[1]->machine.applied == group.replicas[2]->machine.applied; }));
}

TEST(ReplicatedLog, BootstrapsOnlyOnceAllMembersAreUp)
{
    ReplicaGroup group(3);
    group.kill(2);
    CHECK_FALSE(group.runUntilLeader());
    group.start(2);
    CHECK(group.runUntilLeader());
}

TEST(ReplicatedLog, DoesNotAdmitLaggingLearner)
{
    ReplicaGroup group(3);
    CHECK(group.runUntil([&] { return group.allReplicasAreMembers(); }));
    const auto leader = *group.leader();
    const auto wiped = (leader + 1) % 3;
    group.wipeDataFolder(wiped);
    group.start(wiped);
    group.shouldDrop = [&](const auto& message) {
        const auto* append = std::get_if<schema::AppendRequest>(&message.message.request);
        const bool carriesEntries = !append || append->entries_size();
        return message.to == wiped && !message.response && carriesEntries;
    };
    const auto members = [&] { return group.replicas[leader]->log->entries().membership()->members_size(); };
    CHECK(group.runUntil([&] { return members() == 2; }));
    group.runUntil([&] { return members() == 3; });
    LONGS_EQUAL(2, members());
    group.shouldDrop = nullptr;
    CHECK(group.runUntil([&] { return group.allReplicasAreMembers(); }));
}

TEST(ReplicatedLog, IgnoresAcknowledgementFromUnknownDataFolder)
{
    ReplicaGroup group(3);
    CHECK(group.runUntil([&] { return group.allReplicasAreMembers(); }));
    const auto leader = *group.leader();
    const auto wiped = (leader + 1) % 3;
    group.kill((leader + 2) % 3);
    // Runs for a minute, so that the killed replica counts as inactive and the leader cannot remove the wiped one.
    CHECK_FALSE(group.runUntil([&] { return !group.leader(); }));
    group.wipeDataFolder(wiped);
    group.start(wiped);
    group.propose(leader, "stored by one member only");
    CHECK_FALSE(group.runUntil([&] { return hasApplied(group.replicas[leader]->machine, "stored by one member only"); }));
    CHECK_FALSE(group.leader().has_value());
}

TEST(ReplicatedLog, FollowerInContactWithLeaderGrantsNoVote)
{
    ReplicaGroup group(3);
    CHECK(group.runUntil([&] { return group.allReplicasAreMembers(); }));
    const auto leader = *group.leader();
    const auto term = group.replicas[leader]->log->term();
    group.partitions = { { leader, (leader + 1) % 3 } };
    CHECK_FALSE(group.runUntil([&] { return !group.replicas[leader]->log->hasValidLease(); }));
    LONGS_EQUAL(term, group.replicas[leader]->log->term());
}

TEST(ReplicatedLog, DoesNotCommitEntryOfEarlierTermByCountingReplicas)
{
    ReplicaGroup group(3);
    CHECK(group.runUntil([&] { return group.allReplicasAreMembers(); }));
    group.maxBatchBytes = 1;
    for (std::size_t index = 0; index < 3; ++index) {
        group.kill(index);
        group.start(index);
    }
    CHECK(group.runUntilLeader());
    const auto first = *group.leader();
    const auto carriesFrom = [](const auto& message, std::uint64_t index) {
        const auto* append = std::get_if<schema::AppendRequest>(&message.message.request);
        return append && append->entries_size() && append->entries(0).index() >= index;
    };
    // An entry that only its leader holds, and one of the next leader at the same index.
    group.shouldDrop = [&](const auto& message) { return carriesFrom(message, 0); };
    const auto index = group.propose(first, "old").index;
    CHECK(index > 0);
    group.kill(first);
    std::size_t second = first;
    CHECK(group.runUntil([&] {
        for (std::size_t other = 0; other < 3; ++other)
            second = group.replicas[other]->log && group.replicas[other]->log->role() == ReplicaRole::Leader ? other : second;
        return second != first;
    }));
    group.kill(second);
    const auto third = 3 - first - second;
    // The first leader is elected again and replicates its old entry to a majority, but no entry of its new term.
    const auto thirdHasOldEntry = [&] { return group.replicas[third]->log->entries().lastIndex() >= index; };
    group.shouldDrop = [&](const auto& message) { return carriesFrom(message, index + 1) && thirdHasOldEntry(); };
    group.start(first);
    CHECK(group.runUntil(thirdHasOldEntry));
    group.deliverAll();
    CHECK_FALSE(hasApplied(group.replicas[first]->machine, "old"));
    // The second leader can still be elected and replace the entry.
    group.kill(first);
    group.shouldDrop = nullptr;
    group.start(second);
    CHECK(group.runUntilLeader());
    CHECK_FALSE(hasApplied(group.replicas[third]->machine, "old"));
}

TEST(ReplicatedLog, LeaderWithFullDiskAcknowledgesNothingAndAnotherLeads)
{
    ReplicaGroup group(3);
    CHECK(group.runUntilLeader());
    const auto former = *group.leader();
    auto& replica = *group.replicas[former];
    replica.files.full = true;
    group.propose(former, "refused");
    CHECK(replica.log != nullptr);
    CHECK_FALSE(replica.log->hasValidLease());
    CHECK(group.runUntil([&] { return group.leader() && *group.leader() != former; }));
    const auto successor = *group.leader();
    group.propose(successor, "accepted");
    CHECK(group.runUntil([&] { return hasApplied(group.replicas[successor]->machine, "accepted"); }));
    CHECK_FALSE(hasApplied(replica.machine, "accepted"));

    replica.files.full = false;
    CHECK(group.runUntil([&] { return hasApplied(replica.machine, "accepted"); }));
    for (const auto& other : group.replicas)
        CHECK_FALSE(hasApplied(other->machine, "refused"));
    group.kill(former);
    group.start(former);
    CHECK(group.runUntil([&] { return hasApplied(replica.machine, "accepted"); }));
}

TEST(ReplicatedLog, GroupWithFullDisksLeadsAgainOnceTheyTakeWrites)
{
    ReplicaGroup group(5);
    CHECK(group.runUntilLeader());
    for (const auto& replica : group.replicas)
        replica->files.full = true;
    group.propose(*group.leader(), "refused");
    for (int round = 0; round < 100; ++round) {
        group.advance(std::chrono::milliseconds(50));
        group.deliverAll();
        CHECK_FALSE(group.leader().has_value());
    }
    for (const auto& replica : group.replicas)
        replica->files.full = false;
    CHECK(group.runUntilLeader());
    group.propose(*group.leader(), "accepted");
    CHECK(group.runUntil([&] { return std::all_of(group.replicas.begin(), group.replicas.end(), [](const auto& replica) { return hasApplied(replica->machine, "accepted"); }); }));
}

TEST(ReplicatedLog, RedundancyFallsWithEachVoterThatDoesNotRespond)
{
    ReplicaGroup group(5);
    CHECK(group.runUntil([&] { return group.allReplicasAreMembers(); }));
    const auto leader = *group.leader();
    const auto reports = [&](const GroupRedundancy& expected) {
        return group.runUntil([&] { return group.leader() == leader && group.replicas[leader]->log->redundancy() == expected; });
    };
    CHECK(reports({ .voters = 5, .responding = 5, .learners = 0, .tolerableLosses = 2 }));
    group.kill((leader + 1) % 5);
    CHECK(reports({ .voters = 5, .responding = 4, .learners = 0, .tolerableLosses = 1 }));
    group.kill((leader + 2) % 5);
    CHECK(reports({ .voters = 5, .responding = 3, .learners = 0, .tolerableLosses = 0 }));
    CHECK_FALSE(group.replicas[(leader + 3) % 5]->log->redundancy().has_value());
}

// Guards against two leaders and lost entries when half of a group of even size elects a leader.
TEST(ReplicatedLog, RandomFailuresLoseNoCommittedEntryWithSpareMember)
{
    CHECK(rc::check("crashes, power losses, partitions, dropped messages, lost data folders and full disks", [](std::uint64_t seed) {
        RandomSchedule schedule(seed % 2 ? 6 : 4, seed, seed % 2 ? 5 : 3, 1);
        schedule.run(4000);
        schedule.heal();
    }));
}

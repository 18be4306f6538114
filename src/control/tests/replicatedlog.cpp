#include "control/replicatedlog.h"

#include "tests/replicagroup.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>
#include <rapidcheck.h>

using namespace clementinesill;
using namespace clementinesill::control;

namespace {

bool holds(const RecordingMachine& machine, const std::string& command)
{
    return std::any_of(machine.applied.begin(), machine.applied.end(), [&](const auto& line) { return line.ends_with(" " + command); });
}

// A schedule of random failures, and what has to hold at every step of it.
class RandomSchedule {
public:
    RandomSchedule(std::size_t count, std::uint64_t seed)
        : m_group(count, seed)
    {
        m_group.batchBytes = seed % 2 ? 1 : m_group.batchBytes;
    }

    void run(int steps)
    {
        for (int step = 0; step < steps; ++step) {
            act();
            check();
        }
    }

    // Heals everything; then every entry that was ever applied is applied everywhere.
    void heal()
    {
        m_group.cuts.clear();
        for (std::size_t index = 0; index < m_group.replicas.size(); ++index) {
            m_group.replicas[index]->files.lossAt = 0;
            m_group.start(index);
        }
        RC_ASSERT(m_group.settle([&] { return m_group.allAdmitted() && sameState(); }));
        check();
        const auto& applied = m_group.replicas.front()->machine.applied;
        for (const auto& [index, line] : m_lines)
            RC_ASSERT(index <= applied.size() && applied[index - 1] == line);
    }

private:
    void act()
    {
        auto& random = m_group.random;
        const auto index = random.below(m_group.replicas.size());
        switch (random.below(200)) {
        case 0:
            m_group.kill(index);
            break;
        case 1:
            m_group.replicas[index]->files.lossAt = m_group.replicas[index]->files.writes + 1 + random.below(12);
            break;
        case 2:
        case 3:
            m_group.start(index);
            break;
        case 4:
            toggleCut(index, random.below(m_group.replicas.size()));
            break;
        case 5:
            m_group.cuts.clear();
            break;
        case 6:
            // Losing a second data folder before the first is replaced is more than a majority can bear.
            if (m_group.allAdmitted())
                m_group.loseDisk(index);
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
        default:
            work(index);
        }
    }

    void work(std::size_t index)
    {
        auto& random = m_group.random;
        if (random.below(8) == 0)
            m_group.propose(m_group.leader().value_or(index), "change " + std::to_string(++m_changes));
        if (random.below(3) == 0)
            m_group.pass(std::chrono::milliseconds(20 + random.below(150)));
        // Mostly in order, as from one peer to another; sometimes late.
        for (int count = 0; count < 4 && !m_group.queue.empty(); ++count)
            m_group.deliver(random.below(4) ? 0 : random.below(m_group.queue.size()));
    }

    void toggleCut(std::size_t left, std::size_t right)
    {
        if (!m_group.cuts.erase({ left, right }))
            m_group.cuts.insert({ left, right });
    }

    void check()
    {
        int live = 0;
        for (const auto& replica : m_group.replicas) {
            if (!replica->log)
                continue;
            if (replica->log->role() == ReplicaRole::Leader)
                RC_ASSERT(m_leaders.try_emplace(replica->log->term(), replica->name).first->second == replica->name);
            live += replica->log->leaseLive();
            const auto& applied = replica->machine.applied;
            for (std::size_t index = 0; index < applied.size(); ++index)
                RC_ASSERT(m_lines.try_emplace(index + 1, applied[index]).first->second == applied[index]);
        }
        RC_ASSERT(live <= 1);
    }

    bool sameState() const
    {
        return std::all_of(m_group.replicas.begin(), m_group.replicas.end(), [&](const auto& replica) {
            return replica->machine.applied == m_group.replicas.front()->machine.applied && replica->machine.applied.size() >= m_lines.size();
        });
    }

    ReplicaGroup m_group;
    int m_changes = 0;
    std::map<std::uint64_t, std::string> m_leaders;
    // Every line that any state machine was given, by its index.
    std::map<std::size_t, std::string> m_lines;
};

} // namespace

// clang-format off
TEST_GROUP(ReplicatedLog) {};
// clang-format on

TEST(ReplicatedLog, RandomFailuresLoseNothingAccepted)
{
    CHECK(rc::check("kills, lost power, partitions, lost messages and lost data folders", [](std::uint64_t seed) {
        RandomSchedule schedule(seed % 3 == 0 ? 5 : 3, seed);
        schedule.run(4000);
        schedule.heal();
    }));
}

TEST(ReplicatedLog, SecondLossRightAfterRepairLosesNothingAccepted)
{
    ReplicaGroup group(3);
    CHECK(group.settleLeader());
    CHECK(group.settle([&] { return group.allAdmitted(); }));
    const auto leader = *group.leader();
    const auto repaired = (leader + 1) % 3;
    const auto behind = (leader + 2) % 3;
    // Accepted by the leader and one other; the third has not heard of it.
    group.cuts = { { leader, behind }, { repaired, behind } };
    CHECK(group.propose(leader, "accepted").index > 0);
    CHECK(group.settle([&] { return holds(group.replicas[leader]->machine, "accepted"); }));
    // One of the two comes back without its data folder, and the other is lost right after.
    group.loseDisk(repaired);
    group.start(repaired);
    group.kill(leader);
    group.cuts.clear();
    // The two that are left must not accept anything without the lost entry.
    const bool led = group.settleLeader();
    CHECK_FALSE(led);
    // With the second one back, nothing is missing.
    group.start(leader);
    CHECK(group.settle([&] { return group.allAdmitted(); }));
    CHECK(group.propose(*group.leader(), "next").index > 0);
    CHECK(group.settle([&] {
        return std::all_of(group.replicas.begin(), group.replicas.end(), [](const auto& replica) { return holds(replica->machine, "next"); });
    }));
    for (const auto& replica : group.replicas)
        CHECK(holds(replica->machine, "accepted"));
}

TEST(ReplicatedLog, SecondLossAfterReadmissionIsBorne)
{
    ReplicaGroup group(3);
    CHECK(group.settle([&] { return group.allAdmitted(); }));
    const auto first = *group.leader();
    group.propose(first, "accepted");
    const auto repaired = (first + 1) % 3;
    group.loseDisk(repaired);
    group.start(repaired);
    CHECK(group.settle([&] { return group.allAdmitted(); }));
    group.loseDisk(first);
    CHECK(group.settleLeader());
    CHECK(group.propose(*group.leader(), "next").index > 0);
    CHECK(group.settle([&] { return holds(group.replicas[repaired]->machine, "next"); }));
    CHECK(holds(group.replicas[repaired]->machine, "accepted"));
}

TEST(ReplicatedLog, CutOffLeaderHasNoLeaseOnceAnotherLeads)
{
    ReplicaGroup group(3);
    CHECK(group.settleLeader());
    const auto old = *group.leader();
    for (std::size_t other = 0; other < 3; ++other) {
        if (other != old)
            group.cuts.insert({ old, other });
    }
    CHECK(group.settle([&] { return group.leader() && *group.leader() != old; }));
    CHECK_FALSE(group.replicas[old]->log->leaseLive());
    LONGS_EQUAL(0, group.propose(old, "refused").index);
    CHECK(group.settle([&] { return group.replicas[old]->log->role() != ReplicaRole::Leader; }));
}

// Load pattern: all VMs lose power and come back within a second; nothing is served until a leader is elected.
TEST(ReplicatedLog, AfterARestartOfAllTheFormerLeaderLeadsOnceAMajorityIsBack)
{
    ReplicaGroup group(5);
    CHECK(group.settleLeader());
    const auto former = *group.leader();
    for (std::size_t index = 0; index < 5; ++index)
        group.kill(index);
    group.start(former);
    const auto passShortly = [&](int milliseconds) {
        for (int passed = 0; passed < milliseconds; passed += 10) {
            group.pass(std::chrono::milliseconds(10));
            group.deliverAll();
        }
    };
    passShortly(200);
    CHECK_FALSE(group.leader());
    group.start((former + 1) % 5);
    group.start((former + 2) % 5);
    passShortly(100);
    CHECK(group.leader() == former);
}

TEST(ReplicatedLog, WhoeverHeardALaterLeaderWaitsBeforeItVotesForAFormerOne)
{
    ReplicaGroup group(3);
    CHECK(group.settleLeader());
    const auto former = *group.leader();
    const auto others = std::pair((former + 1) % 3, (former + 2) % 3);
    group.kill(former);
    CHECK(group.settleLeader());
    const auto later = *group.leader();
    const auto voter = later == others.first ? others.second : others.first;
    // The later leader is cut off and keeps its lease for a while; the voter restarts and has forgotten whom it heard.
    group.cuts = { { later, former }, { later, voter } };
    group.kill(voter);
    group.start(voter);
    group.start(former);
    bool overlapping = false;
    CHECK(group.settle([&] {
        const auto leads = [&](auto index) { return group.replicas[index]->log->leaseLive(); };
        overlapping = overlapping || (leads(later) && (leads(former) || leads(voter)));
        return leads(former) || leads(voter);
    }));
    CHECK_FALSE(overlapping);
}

TEST(ReplicatedLog, RestartAfterHundredsOfChangesIsExact)
{
    ReplicaGroup group(3);
    CHECK(group.settleLeader());
    for (int change = 0; change < 500; ++change) {
        group.propose(*group.leader(), "change " + std::to_string(change));
        group.pass(std::chrono::milliseconds(10));
        group.deliverAll();
    }
    CHECK(group.settle([&] { return holds(group.replicas[0]->machine, "change 499") && holds(group.replicas[1]->machine, "change 499") && holds(group.replicas[2]->machine, "change 499"); }));
    const auto before = group.replicas[0]->machine.applied;
    for (std::size_t index = 0; index < 3; ++index)
        group.kill(index);
    for (std::size_t index = 0; index < 3; ++index)
        group.start(index);
    CHECK(group.settleLeader());
    const auto& after = group.replicas[*group.leader()]->machine.applied;
    CHECK(std::equal(before.begin(), before.end(), after.begin()));
    CHECK(group.settle([&] { return group.replicas[0]->machine.applied == group.replicas[1]->machine.applied && group.replicas[1]->machine.applied == group.replicas[2]->machine.applied; }));
}

TEST(ReplicatedLog, GroupFormsOnlyOnceAllAreThere)
{
    ReplicaGroup group(3);
    group.kill(2);
    CHECK_FALSE(group.settleLeader());
    group.start(2);
    CHECK(group.settleLeader());
}

TEST(ReplicatedLog, LearnerThatIsBehindIsNotAdmitted)
{
    ReplicaGroup group(3);
    CHECK(group.settle([&] { return group.allAdmitted(); }));
    const auto leader = *group.leader();
    const auto repaired = (leader + 1) % 3;
    group.loseDisk(repaired);
    group.start(repaired);
    group.lose = [&](const auto& message) {
        const auto* append = std::get_if<schema::AppendRequest>(&message.message.request);
        const bool carriesState = !append || append->entries_size();
        return message.to == repaired && !message.answer && carriesState;
    };
    const auto members = [&] { return group.replicas[leader]->log->entries().membership()->members_size(); };
    CHECK(group.settle([&] { return members() == 2; }));
    group.settle([&] { return members() == 3; });
    LONGS_EQUAL(2, members());
    group.lose = nullptr;
    CHECK(group.settle([&] { return group.allAdmitted(); }));
}

TEST(ReplicatedLog, AcknowledgementOfUnknownDataFolderIsNotCounted)
{
    ReplicaGroup group(3);
    CHECK(group.settle([&] { return group.allAdmitted(); }));
    const auto leader = *group.leader();
    const auto repaired = (leader + 1) % 3;
    group.kill((leader + 2) % 3);
    // Long enough for the third to count as gone, so that the lost one is not taken out of the group.
    CHECK_FALSE(group.settle([&] { return !group.leader(); }));
    group.loseDisk(repaired);
    group.start(repaired);
    group.propose(leader, "held by one member only");
    CHECK_FALSE(group.settle([&] { return holds(group.replicas[leader]->machine, "held by one member only"); }));
    CHECK_FALSE(group.leader().has_value());
}

TEST(ReplicatedLog, FollowerThatHearsTheLeaderGivesNoVote)
{
    ReplicaGroup group(3);
    CHECK(group.settle([&] { return group.allAdmitted(); }));
    const auto leader = *group.leader();
    const auto term = group.replicas[leader]->log->term();
    group.cuts = { { leader, (leader + 1) % 3 } };
    CHECK_FALSE(group.settle([&] { return !group.replicas[leader]->log->leaseLive(); }));
    LONGS_EQUAL(term, group.replicas[leader]->log->term());
}

TEST(ReplicatedLog, EntryOfAnEarlierTermIsNotCommittedByCountingAlone)
{
    ReplicaGroup group(3);
    CHECK(group.settle([&] { return group.allAdmitted(); }));
    group.batchBytes = 1;
    for (std::size_t index = 0; index < 3; ++index) {
        group.kill(index);
        group.start(index);
    }
    CHECK(group.settleLeader());
    const auto first = *group.leader();
    const auto carriesFrom = [](const auto& message, std::uint64_t index) {
        const auto* append = std::get_if<schema::AppendRequest>(&message.message.request);
        return append && append->entries_size() && append->entries(0).index() >= index;
    };
    // An entry that only its leader holds, and one of the next leader at the same index.
    group.lose = [&](const auto& message) { return carriesFrom(message, 0); };
    const auto index = group.propose(first, "old").index;
    CHECK(index > 0);
    group.kill(first);
    std::size_t second = first;
    CHECK(group.settle([&] {
        for (std::size_t other = 0; other < 3; ++other)
            second = group.replicas[other]->log && group.replicas[other]->log->role() == ReplicaRole::Leader ? other : second;
        return second != first;
    }));
    group.kill(second);
    const auto third = 3 - first - second;
    // The first leads again and gets its old entry to a majority, but none of its new term.
    const auto thirdHoldsOld = [&] { return group.replicas[third]->log->entries().lastIndex() >= index; };
    group.lose = [&](const auto& message) { return carriesFrom(message, index + 1) && thirdHoldsOld(); };
    group.start(first);
    CHECK(group.settle(thirdHoldsOld));
    group.deliverAll();
    CHECK_FALSE(holds(group.replicas[first]->machine, "old"));
    // The second can still win and replace it.
    group.kill(first);
    group.lose = nullptr;
    group.start(second);
    CHECK(group.settleLeader());
    CHECK_FALSE(holds(group.replicas[third]->machine, "old"));
}

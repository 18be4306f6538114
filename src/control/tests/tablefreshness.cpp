#include "control.pb.h"
#include "control/icommandlog.h"
#include "control/ifleetstate.h"
#include "control/tablefeed.h"
#include "tests/discoveredgroup.h"

#include <CppUTest/TestHarness.h>
#include <deque>
#include <rapidcheck.h>

using namespace clementinesill;
using namespace clementinesill::control;

namespace {

// Time within which an accepted change is in force everywhere (config_propagation_ms of the users' deployments).
constexpr auto propagationBound = std::chrono::seconds(3);

// State whose version is the number of entries that the replica has applied.
class AppliedEntries final : public IFleetState {
public:
    explicit AppliedEntries(const ReplicaGroup::Replica& replica)
        : m_replica(replica)
    {
    }

    CommandResult apply(const schema::Command&) override { return {}; }
    schema::FleetSnapshot snapshot() const override { return {}; }
    void restore(const schema::FleetSnapshot&) override { }
    std::uint64_t revision() const override { return 0; }
    std::uint64_t version() const override { return m_replica.machine.applied.size(); }
    std::shared_ptr<const schema::TableUpdate> updateFrom(std::uint64_t) const override { return std::make_shared<schema::TableUpdate>(); }
    const schema::ServerRecord* server(std::uint32_t) const override { return nullptr; }

private:
    const ReplicaGroup::Replica& m_replica;
};

class ReplicaCommandLog final : public ICommandLog {
public:
    explicit ReplicaCommandLog(const ReplicatedLog& log)
        : m_log(log)
    {
    }

    boost::asio::awaitable<CommandResult> submit(schema::Command) override { co_return CommandResult {}; }
    bool hasValidLease() const override { return m_log.hasValidLease(); }
    bool hasLeader() const override { return m_log.hasLeader(); }
    bool isUpToDate() const override { return m_log.isUpToDate(); }
    bool mayBeElectingFirstLeader() const override { return false; }
    std::string leaderEndpoint() const override { return m_log.leaderEndpoint(); }
    std::vector<std::string> memberEndpoints() const override { return {}; }
    void fillStatus(schema::StatusResponse&) const override { }

private:
    const ReplicatedLog& m_log;
};

// Five controllers, and what they would send to a daemon with an old table.
class ServingGroup : public DiscoveredGroup {
public:
    explicit ServingGroup(std::uint64_t seed)
        : DiscoveredGroup(memberCount, seed)
    {
        CHECK(runAndJoinUntil([&] { return membersAre({ 0, 1, 2, 3, 4 }); }));
        firstStart = false;
    }

    // Table version that the controller confirms to a daemon as the newest; nullopt if it sends none.
    std::optional<std::uint64_t> confirmedVersion(std::size_t index) const
    {
        const auto& replica = *replicas[index];
        if (!replica.log || paused.contains(index))
            return std::nullopt;
        const AppliedEntries state(replica);
        const ReplicaCommandLog log(*replica.log);
        const auto decision = TableFeed(state, log).decide(1);
        return decision.action == FeedDecision::Action::Send ? std::optional(decision.version) : std::nullopt;
    }

    std::uint64_t leaderVersion() const { return leader() ? replicas[*leader()]->machine.applied.size() : 0; }

    std::size_t randomFollower()
    {
        CHECK(runAndJoinUntil([&] { return leader().has_value(); }));
        auto index = *leader();
        while (index == *leader())
            index = random.below(replicas.size());
        return index;
    }
};

// Random faults, while changes are committed and each controller's confirmations are checked.
class FaultSchedule {
public:
    explicit FaultSchedule(std::uint64_t seed)
        : m_group(seed)
    {
    }

    void run(int faults)
    {
        for (int fault = 0; fault < faults; ++fault) {
            injectRandomFault();
            for (int change = 0; change < 4; ++change)
                commitAndCheck();
        }
    }

private:
    void injectRandomFault()
    {
        const auto index = m_group.random.below(m_group.replicas.size());
        switch (m_group.random.below(5)) {
        case 0:
            m_group.replicas[index]->files.full = true;
            break;
        case 1:
            m_group.partitions.insert({ index, m_group.random.below(m_group.replicas.size()) });
            break;
        case 2:
            m_group.kill(index);
            break;
        case 3:
            m_group.wipeDataFolder(index);
            break;
        default:
            repair();
        }
    }

    void repair()
    {
        m_group.partitions.clear();
        for (std::size_t index = 0; index < m_group.replicas.size(); ++index) {
            m_group.replicas[index]->files.full = false;
            m_group.startAndJoin(index);
        }
    }

    void commitAndCheck()
    {
        if (const auto leader = m_group.leader())
            m_group.propose(*leader, "change");
        for (const auto end = m_group.clock.now() + std::chrono::milliseconds(300 + m_group.random.below(1200)); m_group.clock.now() < end;) {
            m_group.advanceAndJoin(std::chrono::milliseconds(20));
            check();
        }
    }

    void check()
    {
        const auto now = m_group.clock.now();
        m_committed.emplace_back(now, m_group.leaderVersion());
        while (m_committed.front().first < now - propagationBound) {
            m_oldestAllowed = std::max(m_oldestAllowed, m_committed.front().second);
            m_committed.pop_front();
        }
        for (std::size_t index = 0; index < m_group.replicas.size(); ++index) {
            if (const auto version = m_group.confirmedVersion(index))
                RC_ASSERT(*version >= m_oldestAllowed);
        }
    }

    ServingGroup m_group;
    // Versions of the leader within the bound, by time.
    std::deque<std::pair<MonotonicTime, std::uint64_t>> m_committed;
    // Newest version that was committed before that.
    std::uint64_t m_oldestAllowed = 0;
};

} // namespace

// clang-format off
TEST_GROUP(TableFreshness) {};
// clang-format on

TEST(TableFreshness, FollowersWithFullDisksDoNotConfirmOldTable)
{
    CHECK(rc::check("changes are committed while the disks of two followers are full", [](std::uint64_t seed) {
        ServingGroup group(seed);
        for (int disk = 0; disk < 2; ++disk)
            group.replicas[group.randomFollower()]->files.full = true;
        CHECK(group.commit("change"));
        const auto version = group.leaderVersion();
        group.runFor(propagationBound);
        for (std::size_t index = 0; index < group.replicas.size(); ++index)
            RC_ASSERT(group.confirmedVersion(index).value_or(version) >= version);
    }));
}

TEST(TableFreshness, NoControllerConfirmsTableOlderThanBound)
{
    CHECK(rc::check("full disks, partitions, power losses and lost data folders", [](std::uint64_t seed) { FaultSchedule(seed).run(20); }));
}

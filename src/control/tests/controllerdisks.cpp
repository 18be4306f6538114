#include "tests/discoveredgroup.h"

#include <CppUTest/TestHarness.h>
#include <set>
#include <string>

using namespace clementinesill;
using namespace clementinesill::control;

namespace {

// How long a disk is full.
constexpr auto fullTime = std::chrono::milliseconds(4500);

// Five controllers, one or more of which cannot write for a while.
class GroupWithFullDisks : public DiscoveredGroup {
public:
    explicit GroupWithFullDisks(std::uint64_t seed)
        : DiscoveredGroup(memberCount, seed)
    {
        CHECK(runAndJoinUntil([&] { return membersAre({ 0, 1, 2, 3, 4 }); }));
        firstStart = false;
    }

    void fillDiskFor(std::size_t index, Duration time)
    {
        replicas[index]->files.full = true;
        const auto end = clock.now() + time;
        while (clock.now() < end) {
            runFor(std::chrono::milliseconds(300));
            commit("change while a disk is full");
        }
        replicas[index]->files.full = false;
    }

    std::size_t randomController() { return random.below(replicas.size()); }

    std::size_t currentLeader()
    {
        CHECK(runAndJoinUntil([&] { return leader().has_value(); }));
        return *leader();
    }

    bool commitsWithin(Duration time)
    {
        const auto deadline = clock.now() + time;
        while (clock.now() < deadline) {
            if (commit("change after the disks"))
                return true;
            advanceAndJoin(std::chrono::milliseconds(20));
        }
        return false;
    }
};

} // namespace

// clang-format off
TEST_GROUP(ControllerDisks) {};
// clang-format on

// The third CONFIG incident of tdw-sill.
TEST(ControllerDisks, TwoLostDisksDoNotEndGroupWhoseLeadersDiskWasFull)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        GroupWithFullDisks group(seed);
        const auto formerLeader = group.currentLeader();
        group.fillDiskFor(formerLeader, fullTime);
        group.runFor(DiscoveredGroup::catchUpTime);
        CHECK(group.commitsWithin(std::chrono::seconds(1)));
        std::set<std::size_t> lost;
        while (lost.size() < 2) {
            const auto index = group.randomController();
            if (index != formerLeader)
                lost.insert(index);
        }
        for (const auto index : lost)
            group.wipeDataFolder(index);
        group.runFor(std::chrono::seconds(1));
        for (const auto index : lost)
            group.startAndJoin(index);
        CHECK_TEXT(group.commitsWithin(DiscoveredGroup::recoveryTime), ("seed " + std::to_string(seed)).c_str());
    }
}

TEST(ControllerDisks, FullDisksOneAfterAnotherDoNotEndGroup)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        GroupWithFullDisks group(seed);
        for (int count = 0; count < DiscoveredGroup::memberCount; ++count) {
            group.fillDiskFor(group.random.below(2) ? group.currentLeader() : group.randomController(), fullTime);
            group.runFor(DiscoveredGroup::catchUpTime);
            CHECK_TEXT(group.commitsWithin(std::chrono::seconds(1)), ("seed " + std::to_string(seed)).c_str());
        }
        const auto redundancy = group.replicas[group.currentLeader()]->log->redundancy();
        CHECK(redundancy.has_value());
        LONGS_EQUAL(2, redundancy->tolerableLosses);
    }
}

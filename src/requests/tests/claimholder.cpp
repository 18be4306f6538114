#include "requests/claimholder.h"

#include "requests/claimholders.h"
#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace clementinesill;
using namespace clementinesill::requests;

namespace {
constexpr ClaimId first { .server = 1, .number = 1 };
constexpr ClaimId second { .server = 2, .number = 1 };
} // namespace

// clang-format off
TEST_GROUP(ClaimHolder)
{
    ManualClock clock;
    ClaimOptions options;
    ClaimHolder holder { 1, options, clock };

    // Keeps the view current for a time.
    void live(Duration time, const std::vector<std::uint32_t>& servers)
    {
        for (auto passed = Duration::zero(); passed <= time; passed += options.viewLag) {
            holder.onView(servers);
            clock.advance(options.viewLag);
        }
        holder.onView(servers);
    }
};
// clang-format on

TEST(ClaimHolder, AbstainsAfterItsStart)
{
    holder.onView({ 1 });
    CHECK(holder.vote("k", first).vote == ClaimVote::Abstained);
    live(options.abstention(), { 1 });
    CHECK(holder.vote("k", first).vote == ClaimVote::Granted);
}

TEST(ClaimHolder, GrantsOneClaimUntilItIsReleasedOrOver)
{
    live(options.abstention(), { 1 });
    CHECK(holder.vote("k", first).vote == ClaimVote::Granted);
    CHECK(holder.vote("k", first).vote == ClaimVote::Granted);
    CHECK(holder.vote("k", second).vote == ClaimVote::Taken);
    holder.release("k", second);
    CHECK(holder.vote("k", second).vote == ClaimVote::Taken);
    holder.release("k", first);
    CHECK(holder.vote("k", second).vote == ClaimVote::Granted);
    live(options.lifetime, { 1 });
    CHECK(holder.vote("k", first).vote == ClaimVote::Granted);
}

TEST(ClaimHolder, AbstainsWithoutACurrentView)
{
    live(options.abstention(), { 1 });
    clock.advance(options.viewLag + std::chrono::seconds(1));
    CHECK(holder.vote("k", first).vote == ClaimVote::Abstained);
}

TEST(ClaimHolder, AbstainsOnKeysThatItHoldsOnlySinceAChange)
{
    const std::vector<std::uint32_t> before { 1, 2, 3, 4 };
    std::string key = "a";
    // A key that others hold until server 2 leaves.
    const auto holds = [&](const std::vector<std::uint32_t>& servers) {
        const auto holders = claimHolders(key, servers);
        return std::find(holders.begin(), holders.end(), 1U) != holders.end();
    };
    while (holds(before) || !holds({ 1, 3, 4 }))
        key += "a";
    live(options.abstention(), before);
    holder.onView({ 1, 3, 4 });
    CHECK(holder.vote(key, first).vote == ClaimVote::Abstained);
    live(options.abstention(), { 1, 3, 4 });
    CHECK(holder.vote(key, first).vote == ClaimVote::Granted);
}

TEST(ClaimHolder, AsksForTheMajorityOfTheLargestView)
{
    live(options.abstention(), { 1, 2, 3 });
    holder.onView({ 1 });
    CHECK_EQUAL(2U, holder.vote("k", first).majority);
    live(options.abstention(), { 1 });
    CHECK_EQUAL(1U, holder.vote("k", first).majority);
}

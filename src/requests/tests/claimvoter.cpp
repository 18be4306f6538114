#include "requests/claimvoter.h"

#include "requests/claimvoters.h"
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
TEST_GROUP(ClaimVoter)
{
    ManualClock clock;
    ClaimOptions options;
    ClaimVoter voter { 1, options, clock };

    // Advances the clock while the view stays current.
    void advanceWithCurrentView(Duration time, const std::vector<std::uint32_t>& servers)
    {
        for (auto passed = Duration::zero(); passed <= time; passed += options.maxViewDelay) {
            voter.onView(servers);
            clock.advance(options.maxViewDelay);
        }
        voter.onView(servers);
    }
};
// clang-format on

TEST(ClaimVoter, AbstainsAfterStart)
{
    voter.onView({ 1 });
    CHECK(voter.vote("k", first).vote == ClaimVote::Abstained);
    advanceWithCurrentView(options.abstentionPeriod(), { 1 });
    CHECK(voter.vote("k", first).vote == ClaimVote::Granted);
}

TEST(ClaimVoter, GrantsOneClaimUntilReleaseOrExpiry)
{
    advanceWithCurrentView(options.abstentionPeriod(), { 1 });
    CHECK(voter.vote("k", first).vote == ClaimVote::Granted);
    CHECK(voter.vote("k", first).vote == ClaimVote::Granted);
    CHECK(voter.vote("k", second).vote == ClaimVote::Taken);
    voter.release("k", second);
    CHECK(voter.vote("k", second).vote == ClaimVote::Taken);
    voter.release("k", first);
    CHECK(voter.vote("k", second).vote == ClaimVote::Granted);
    advanceWithCurrentView(options.lifetime, { 1 });
    CHECK(voter.vote("k", first).vote == ClaimVote::Granted);
}

TEST(ClaimVoter, AbstainsWhenViewIsStale)
{
    advanceWithCurrentView(options.abstentionPeriod(), { 1 });
    clock.advance(options.maxViewDelay + std::chrono::seconds(1));
    CHECK(voter.vote("k", first).vote == ClaimVote::Abstained);
}

TEST(ClaimVoter, AbstainsOnKeysGainedByViewChange)
{
    const std::vector<std::uint32_t> before { 1, 2, 3, 4 };
    std::string key = "a";
    // Finds a key for which agent 1 becomes a voter only when agent 2 leaves.
    const auto isVoter = [&](const std::vector<std::uint32_t>& servers) {
        const auto voters = claimVoters(key, servers);
        return std::find(voters.begin(), voters.end(), 1U) != voters.end();
    };
    while (isVoter(before) || !isVoter({ 1, 3, 4 }))
        key += "a";
    advanceWithCurrentView(options.abstentionPeriod(), before);
    voter.onView({ 1, 3, 4 });
    CHECK(voter.vote(key, first).vote == ClaimVote::Abstained);
    advanceWithCurrentView(options.abstentionPeriod(), { 1, 3, 4 });
    CHECK(voter.vote(key, first).vote == ClaimVote::Granted);
}

TEST(ClaimVoter, RequiresMajorityOfLargestRecentView)
{
    advanceWithCurrentView(options.abstentionPeriod(), { 1, 2, 3 });
    voter.onView({ 1 });
    CHECK_EQUAL(2U, voter.vote("k", first).majority);
    advanceWithCurrentView(options.abstentionPeriod(), { 1 });
    CHECK_EQUAL(1U, voter.vote("k", first).majority);
}

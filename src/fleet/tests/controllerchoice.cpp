#include "fleet/controllerchoice.h"

#include "foundation/seededrandom.h"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace clementinesill;
using namespace clementinesill::fleet;

// clang-format off
TEST_GROUP(ControllerChoice)
{
    SeededRandom random { 1 };
    ControllerChoice choice { { "a", "b", "c" }, random };
};
// clang-format on

TEST(ControllerChoice, FailuresGoRoundAllWithGrowingJitteredWaits)
{
    std::set<std::string> asked;
    std::set<Duration> waits;
    Duration longest {};
    for (int failure = 0; failure < 12; ++failure) {
        const auto bound = std::min<Duration>(std::chrono::milliseconds(50 << std::min(failure, 6)), std::chrono::seconds(2));
        asked.insert(choice.current());
        const auto wait = choice.failed();
        CHECK(wait >= bound / 2 && wait <= bound);
        waits.insert(wait);
        longest = std::max(longest, wait);
    }
    LONGS_EQUAL(3, asked.size());
    CHECK(waits.size() > 8);
    CHECK(longest <= std::chrono::seconds(2));
}

TEST(ControllerChoice, PrefersOneThatIsReached)
{
    const auto before = choice.current();
    CHECK_FALSE(choice.prefer([](const auto&) { return false; }));
    STRCMP_EQUAL(before.c_str(), choice.current().c_str());
    CHECK(choice.prefer([](const auto& endpoint) { return endpoint == "c"; }));
    STRCMP_EQUAL("c", choice.current().c_str());
    CHECK(choice.prefer([](const auto&) { return true; }));
    STRCMP_EQUAL("c", choice.current().c_str());
}

TEST(ControllerChoice, FirstHintIsFollowedAtOnceAndNextOnesAfterAWait)
{
    const std::string other = choice.current() == "a" ? "b" : "a";
    CHECK(choice.follow(other) == Duration::zero());
    STRCMP_EQUAL(other.c_str(), choice.current().c_str());
    CHECK(choice.follow("c") > Duration::zero());
    STRCMP_EQUAL("c", choice.current().c_str());
    // The one that was just asked, and one that is not known, lead on to the next.
    CHECK(choice.follow("c") > Duration::zero());
    STRCMP_EQUAL("a", choice.current().c_str());
    choice.follow("elsewhere");
    STRCMP_EQUAL("b", choice.current().c_str());
}

TEST(ControllerChoice, AHintIsFollowedAtOnceAlsoAfterFailures)
{
    for (int failure = 0; failure < 5; ++failure)
        choice.failed();
    const std::string other = choice.current() == "a" ? "b" : "a";
    CHECK(choice.follow(other) == Duration::zero());
}

TEST(ControllerChoice, AnUrgentDaemonAsksAgainSoon)
{
    choice.setLongestBackoff(std::chrono::milliseconds(150));
    for (int failure = 0; failure < 20; ++failure)
        CHECK(choice.failed() <= std::chrono::milliseconds(150));
}

TEST(ControllerChoice, KeepsTheCurrentControllerWhenOthersAreLearnt)
{
    const auto current = choice.current();
    choice.replaceEndpoints({ "d", "e", current });
    STRCMP_EQUAL(current.c_str(), choice.current().c_str());
    choice.replaceEndpoints({ "f" });
    STRCMP_EQUAL("f", choice.current().c_str());
}

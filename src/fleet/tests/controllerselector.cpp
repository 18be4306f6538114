#include "fleet/controllerselector.h"

#include "foundation/seededrandom.h"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace clementinesill;
using namespace clementinesill::fleet;

// clang-format off
TEST_GROUP(ControllerSelector)
{
    SeededRandom random { 1 };
    ControllerSelector selector { { "a", "b", "c" }, random };
};
// clang-format on

TEST(ControllerSelector, FailuresRotateThroughAllControllersWithJitteredExponentialBackoff)
{
    std::set<std::string> tried;
    std::set<Duration> backoffs;
    Duration longest {};
    for (int failure = 0; failure < 12; ++failure) {
        const auto bound = std::min<Duration>(std::chrono::milliseconds(50 << std::min(failure, 6)), std::chrono::seconds(2));
        tried.insert(selector.current());
        const auto backoff = selector.onFailure();
        CHECK(backoff >= bound / 2 && backoff <= bound);
        backoffs.insert(backoff);
        longest = std::max(longest, backoff);
    }
    LONGS_EQUAL(3, tried.size());
    CHECK(backoffs.size() > 8);
    CHECK(longest <= std::chrono::seconds(2));
}

TEST(ControllerSelector, SelectIfStartsAtCurrentController)
{
    const auto before = selector.current();
    CHECK_FALSE(selector.selectIf([](const auto&) { return false; }));
    STRCMP_EQUAL(before.c_str(), selector.current().c_str());
    CHECK(selector.selectIf([](const auto& endpoint) { return endpoint == "c"; }));
    STRCMP_EQUAL("c", selector.current().c_str());
    CHECK(selector.selectIf([](const auto&) { return true; }));
    STRCMP_EQUAL("c", selector.current().c_str());
}

TEST(ControllerSelector, OnlyFirstOfConsecutiveHintsHasNoBackoff)
{
    const std::string other = selector.current() == "a" ? "b" : "a";
    CHECK(selector.onLeaderHint(other) == Duration::zero());
    STRCMP_EQUAL(other.c_str(), selector.current().c_str());
    CHECK(selector.onLeaderHint("c") > Duration::zero());
    STRCMP_EQUAL("c", selector.current().c_str());
    // A hint to the current controller and a hint to an unknown one both select the next controller.
    CHECK(selector.onLeaderHint("c") > Duration::zero());
    STRCMP_EQUAL("a", selector.current().c_str());
    selector.onLeaderHint("elsewhere");
    STRCMP_EQUAL("b", selector.current().c_str());
}

TEST(ControllerSelector, FirstHintAfterFailuresHasNoBackoff)
{
    for (int failure = 0; failure < 5; ++failure)
        selector.onFailure();
    const std::string other = selector.current() == "a" ? "b" : "a";
    CHECK(selector.onLeaderHint(other) == Duration::zero());
}

TEST(ControllerSelector, BackoffNeverExceedsConfiguredMaximum)
{
    selector.setMaximumBackoff(std::chrono::milliseconds(150));
    for (int failure = 0; failure < 20; ++failure)
        CHECK(selector.onFailure() <= std::chrono::milliseconds(150));
}

TEST(ControllerSelector, KeepsCurrentControllerWhenEndpointsAreReplaced)
{
    const auto current = selector.current();
    selector.replaceEndpoints({ "d", "e", current });
    STRCMP_EQUAL(current.c_str(), selector.current().c_str());
    selector.replaceEndpoints({ "f" });
    STRCMP_EQUAL("f", selector.current().c_str());
}

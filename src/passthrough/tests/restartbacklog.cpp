#include "passthrough/tests/restartsimulation.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::passthrough;

namespace {

constexpr std::uint64_t seedCount = 8;
// Minimum weighted share of the requests that must be served despite the outage or high load.
constexpr double servedTarget = 0.92;
// Weight of a late response relative to one in time.
constexpr double lateResponseWeight = 0.3;
// Minimum share of the capacity that must be used for responses under overload, with late responses weighted.
constexpr double goodputTarget = 0.9;

RequestOutcomes runAllSeeds(RestartScenario scenario)
{
    RequestOutcomes outcomes;
    for (scenario.seed = 1; scenario.seed <= seedCount; ++scenario.seed)
        outcomes += RestartSimulation(scenario).run();
    return outcomes;
}

double ratio(std::uint64_t part, std::uint64_t whole) { return static_cast<double>(part) / static_cast<double>(whole); }

double weightedServedShare(const RequestOutcomes& outcomes) { return ratio(outcomes.servedInTime, outcomes.sentAfterOutage) + lateResponseWeight * ratio(outcomes.servedLate, outcomes.sentAfterOutage); }

RestartScenario loadWithoutOutage(double rate)
{
    return { .rate = rate, .outage = Duration::zero(), .coldTime = Duration::zero() };
}

} // namespace

// clang-format off
TEST_GROUP(RestartBacklog) {};
// clang-format on

// After an outage of 1.5 s, retries and new requests arrive together at servers that are slow for 2 s.
TEST(RestartBacklog, ServesNewRequestsInTimeDespiteBacklog)
{
    const auto outcomes = runAllSeeds({});
    CHECK(weightedServedShare(outcomes) >= servedTarget);
}

// The load is just below the capacity of the servers.
TEST(RestartBacklog, MeetsServedTargetNearCapacity)
{
    const auto outcomes = runAllSeeds(loadWithoutOutage(1040));
    CHECK(weightedServedShare(outcomes) >= servedTarget);
}

// The load is twice the capacity of the servers.
TEST(RestartBacklog, KeepsGoodputUnderOverload)
{
    constexpr double overload = 2;
    const auto outcomes = runAllSeeds(loadWithoutOutage(2180));
    CHECK(weightedServedShare(outcomes) >= goodputTarget / overload);
}

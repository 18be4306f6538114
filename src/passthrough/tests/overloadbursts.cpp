#include "passthrough/tests/restartsimulation.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace clementinesill;
using namespace clementinesill::passthrough;

namespace {

using std::chrono::milliseconds;

// Minimum share of the capacity that is used for requests served before their timeout, in every two-second window.
constexpr double goodputTarget = 0.95;
// Minimum served share of the class with the higher priority, whose load is below the capacity.
constexpr double priorityClassTarget = 0.95;
// Minimum served share of the requests sent later than one second after a burst.
constexpr double recoveryTarget = 0.98;
constexpr std::uint64_t seedCount = 2;

// The main service of deployment P in docs/hard-load.md, with 12 of its 46 servers.
RestartScenario burstOnP(double factor, double factorOfSecondClass)
{
    constexpr double scale = 12.0 / 46;
    return {
        .servers = 12,
        .slots = 3,
        .outage = Duration::zero(),
        .length = std::chrono::seconds(4),
        .coldTime = Duration::zero(),
        .classes = {
            { .rate = 1314 * scale * factor, .work = milliseconds(40), .targetLatency = milliseconds(300), .timeout = milliseconds(3000), .priority = 2 },
            { .rate = 375 * scale * factorOfSecondClass, .work = milliseconds(52), .targetLatency = milliseconds(400), .timeout = milliseconds(4000), .priority = 1 },
        },
        .waitingOpenings = 64,
    };
}

// The main service of deployment R, with 13 of its 50 servers.
RestartScenario burstOnR(double factor)
{
    constexpr double scale = 13.0 / 50;
    return {
        .servers = 13,
        .slots = 4,
        .outage = Duration::zero(),
        .length = std::chrono::seconds(4),
        .coldTime = Duration::zero(),
        .classes = {
            { .rate = 1001 * scale * factor, .work = milliseconds(47), .targetLatency = milliseconds(400), .timeout = milliseconds(3000), .priority = 2 },
            { .rate = 286 * scale * factor, .work = milliseconds(61), .targetLatency = milliseconds(400), .timeout = milliseconds(3000), .priority = 1 },
        },
        .waitingOpenings = 64,
        .speeds = { 0.55, 1.2, 1.2, 1.2 },
    };
}

double servedShare(const RequestOutcomes& outcomes, std::size_t classIndex)
{
    return static_cast<double>(outcomes.servedByClass[classIndex]) / static_cast<double>(outcomes.sentByClass[classIndex]);
}

void checkBounds(RestartScenario scenario)
{
    for (scenario.seed = 1; scenario.seed <= seedCount; ++scenario.seed) {
        const auto outcomes = RestartSimulation(scenario).run();
        const auto goodput = *std::ranges::min_element(outcomes.goodput);
        const auto text = "goodput " + std::to_string(goodput) + ", served " + std::to_string(servedShare(outcomes, 0)) + " and " + std::to_string(servedShare(outcomes, 1));
        CHECK_TEXT(goodput >= goodputTarget, text.c_str());
        CHECK_TEXT(servedShare(outcomes, 1) >= priorityClassTarget, text.c_str());
    }
}

} // namespace

// clang-format off
TEST_GROUP(OverloadBursts) {};
// clang-format on

// Retries of rejected callers kept the system in a state in which it served almost nothing.
TEST(OverloadBursts, ServesCapacityAtFourTimesTheLoad)
{
    checkBounds(burstOnP(4, 4));
    checkBounds(burstOnR(4));
}

TEST(OverloadBursts, ServesCapacityAtSixTimesTheLoad)
{
    checkBounds(burstOnP(6, 6));
    checkBounds(burstOnR(6));
}

// Retries kept a system overloaded until 13 s after the end of a burst.
TEST(OverloadBursts, ServesNormalLoadOneSecondAfterBurst)
{
    auto scenario = burstOnP(1, 1);
    scenario.burstFactor = 4;
    scenario.burstLength = std::chrono::seconds(4);
    scenario.length = std::chrono::seconds(7);
    scenario.seed = 1;
    const auto outcomes = RestartSimulation(scenario).run();
    CHECK(outcomes.sentAfterBurst > 500);
    CHECK(static_cast<double>(outcomes.servedAfterBurst) >= recoveryTarget * static_cast<double>(outcomes.sentAfterBurst));
}

// Flows whose requests are lost must not occupy the server's slots until they expire after 60 s.
TEST(OverloadBursts, LostRequestsDoNotOccupySlots)
{
    auto scenario = burstOnP(4, 4);
    scenario.requestLoss = 0.02;
    scenario.seed = 1;
    const auto outcomes = RestartSimulation(scenario).run();
    CHECK(*std::ranges::min_element(outcomes.goodput) >= goodputTarget);
}

// A burst of one class displaced the class with the higher priority.
TEST(OverloadBursts, BurstOfOneClassLeavesHigherPriorityAlone)
{
    checkBounds(burstOnP(6, 1));
}

#include "passthrough/tests/placementsimulation.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::passthrough;

namespace {

// Bounds of docs/hard-load.md.
constexpr double goodputTarget = 0.95;
constexpr double servedTarget = 0.95;
constexpr double afterBurstTarget = 0.98;
constexpr double shiftTolerance = 0.05;
// Load of deployment P, relative to the capacity of its servers.
constexpr double baseUtilization = 0.522;
// Seeds over which the shares of shifted and other callers are compared; single runs differ by up to 0.03.
constexpr std::uint64_t seedCount = 5;

double share(std::uint64_t part, std::uint64_t whole) { return static_cast<double>(part) / static_cast<double>(whole); }

PlacementOutcomes simulate(const PlacementScenario& scenario)
{
    return PlacementSimulation(scenario).run();
}

} // namespace

// clang-format off
TEST_GROUP(PlacementUnderLoad) {};
// clang-format on

// Guards against servers that idle while balancers reject, against a class of high priority that is rejected with the others,
// and against views that outlive the burst.
TEST(PlacementUnderLoad, ServersStayInUseDuringBurstAndAreFoundAfterIt)
{
    for (const double load : { 4.0, 6.0, 4 / baseUtilization, 6 / baseUtilization }) {
        const auto outcomes = simulate({ .burstLoad = load });
        CHECK(outcomes.goodput >= goodputTarget);
        CHECK(share(outcomes.afterBurst.servedInTime, outcomes.afterBurst.sent) >= afterBurstTarget);
        // At a higher load, class 2 alone exceeds the capacity.
        if (load <= 6)
            CHECK(share(outcomes.burst[1].served, outcomes.burst[1].sent) >= servedTarget);
    }
}

// Guards against a placement that depends on notices that are not received.
TEST(PlacementUnderLoad, LostNoticesCostHopsButNotGoodput)
{
    for (const double lost : { 0.5, 1.0 })
        CHECK(simulate({ .lostNotices = lost }).goodput >= goodputTarget);
}

// Guards against walks over the agents by SYNs that cannot be served.
TEST(PlacementUnderLoad, NoticesKeepRejectedSynsFromAgents)
{
    CHECK(simulate({ .burstLoad = 6 }).visits < simulate({ .burstLoad = 6, .placesByLoad = false }).visits / 2);
}

// Guards against a failed VM that looks idle to the balancers and attracts the new flows of all zones.
TEST(PlacementUnderLoad, FailedServerAttractsNoLoad)
{
    const auto outcomes = simulate({ .failedServers = 1 });
    CHECK(outcomes.goodput >= goodputTarget);
    CHECK(share(outcomes.afterBurst.servedInTime, outcomes.afterBurst.sent) >= servedTarget);
    CHECK(share(outcomes.burst[1].served, outcomes.burst[1].sent) >= servedTarget);
}

// Guards against callers of a crowded zone that are served worse while servers of other zones are free.
TEST(PlacementUnderLoad, ShiftedCallersAreServedLikeOthers)
{
    for (const double load : { 1.5, 2.2 }) {
        PlacementOutcomes::Requests shifted;
        PlacementOutcomes::Requests others;
        for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
            const auto outcomes = simulate({ .burstLoad = load, .shiftedCallers = 0.9, .seed = seed });
            shifted += outcomes.shifted;
            others += outcomes.unshifted;
        }
        CHECK(share(shifted.served, shifted.sent) >= share(others.served, others.sent) - shiftTolerance);
        // The higher load exceeds the capacity.
        if (load * baseUtilization < 1)
            CHECK(share(shifted.servedInTime, shifted.sent) >= servedTarget);
    }
}

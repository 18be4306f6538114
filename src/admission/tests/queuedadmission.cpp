#include "admission/queuedadmission.h"

#include "overloadmodel.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace clementinesill;
using namespace clementinesill::admission;

// clang-format off
TEST_GROUP(QueuedAdmission) {};
// clang-format on

TEST(QueuedAdmission, MaintainsGoodputUpToThreeTimesCapacity)
{
    CHECK(rc::check("goodput >= 0.9 of capacity", [](std::uint64_t seed) {
        const auto load = *rc::gen::element(1.0, 2.0, 3.0);
        const auto result = OverloadModel({ .load = load, .seed = seed }).run();
        RC_LOG() << "load " << load << " goodput " << result.goodput << " refused " << result.rejected << '\n';
        RC_ASSERT(result.goodput >= 0.9);
        RC_ASSERT(result.maximumConcurrency <= 5U);
    }));
}

TEST(QueuedAdmission, ColdServerDoesNotCollapseUnderOverload)
{
    CHECK(rc::check("no collapse under three times the load", [](std::uint64_t seed) {
        const auto result = OverloadModel({ .load = 3, .seed = seed, .coldTime = std::chrono::seconds(10), .turnsColdAfter = std::chrono::seconds(30) }).run();
        RC_LOG() << "goodput " << result.goodput << " overruns " << result.overruns << " collapses " << result.collapses << '\n';
        RC_ASSERT(result.collapses <= 1U);
    }));
}

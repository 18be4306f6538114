#include "admission/warmuplimit.h"

#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace clementinesill;
using namespace clementinesill::admission;

namespace {

constexpr auto normalLatency = std::chrono::milliseconds(20);

void answer(WarmupLimit& limit, ManualClock& clock, int count, Duration latency = normalLatency)
{
    for (int index = 0; index < count; ++index) {
        clock.advance(std::chrono::milliseconds(400));
        limit.onFinished({ .end = RequestEnd::Answered, .latency = latency }, limit.limit());
    }
}

} // namespace

// clang-format off
TEST_GROUP(WarmupLimit)
{
    ManualClock clock;
    WarmupLimit limit { {}, clock };
};
// clang-format on

TEST(WarmupLimit, GrowsByOneOnSuccessUpToTheMaximum)
{
    CHECK_EQUAL(1U, limit.limit());
    answer(limit, clock, 3);
    CHECK_EQUAL(2U, limit.limit());
    answer(limit, clock, 100);
    CHECK_EQUAL(5U, limit.limit());
}

TEST(WarmupLimit, DoesNotGrowWhileUnused)
{
    for (int index = 0; index < 100; ++index) {
        clock.advance(std::chrono::seconds(1));
        limit.onFinished({ .end = RequestEnd::Answered, .latency = normalLatency }, 0);
    }
    CHECK_EQUAL(1U, limit.limit());
}

TEST(WarmupLimit, HalvesOnceForOneOverload)
{
    answer(limit, clock, 100);
    limit.onFinished({ .end = RequestEnd::Shed }, 5);
    limit.onFinished({ .end = RequestEnd::TimedOut }, 4);
    CHECK_EQUAL(2U, limit.limit());
}

TEST(WarmupLimit, RestartsWhenTheServerKeepsRefusing)
{
    answer(limit, clock, 100);
    for (int index = 0; index < 3; ++index)
        limit.onFinished({ .end = RequestEnd::Shed }, 5);
    CHECK_EQUAL(1U, limit.limit());
}

TEST(WarmupLimit, RestartsOnALatencyStep)
{
    answer(limit, clock, 100);
    // Two whole windows of latencies, wherever they begin.
    answer(limit, clock, 48, 10 * normalLatency);
    CHECK_EQUAL(1U, limit.limit());
}

TEST(WarmupLimit, FallsByOneWhenTheServerSlowsDown)
{
    answer(limit, clock, 96);
    answer(limit, clock, 16, 3 * normalLatency);
    CHECK_EQUAL(4U, limit.limit());
}

TEST(WarmupLimit, KeepsWithAMixOfQuickAndSlowRequests)
{
    CHECK(rc::check("a mix of requests is not taken for a slower server", [] {
        ManualClock clock;
        WarmupLimit limit({}, clock);
        for (int index = 0; index < 500; ++index) {
            clock.advance(std::chrono::milliseconds(400));
            const auto slow = *rc::gen::inRange(0, 2) == 1;
            limit.onFinished({ .end = RequestEnd::Answered, .latency = slow ? 20 * normalLatency : normalLatency }, limit.limit());
        }
        RC_ASSERT(limit.limit() == 5U);
    }));
}

TEST(WarmupLimit, AdaptsToASlowerServer)
{
    answer(limit, clock, 100);
    answer(limit, clock, 1000, 10 * normalLatency);
    CHECK_EQUAL(5U, limit.limit());
}

TEST(WarmupLimit, EndpointsOnlyLower)
{
    answer(limit, clock, 100);
    limit.lower(2, std::chrono::seconds(1));
    CHECK_EQUAL(2U, limit.limit());
    limit.lower(50, std::chrono::seconds(1));
    CHECK_EQUAL(5U, limit.limit());
    limit.restart();
    limit.lower(50, std::chrono::seconds(1));
    CHECK_EQUAL(1U, limit.limit());
}

#include "admission/warmuplimit.h"

#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace clementinesill;
using namespace clementinesill::admission;

namespace {

constexpr auto normalLatency = std::chrono::milliseconds(20);

void completeRequests(WarmupLimit& limit, ManualClock& clock, int count, Duration latency = normalLatency)
{
    for (int index = 0; index < count; ++index) {
        clock.advance(std::chrono::milliseconds(400));
        limit.onFinished({ .outcome = RequestOutcome::Completed, .latency = latency }, limit.limit());
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

TEST(WarmupLimit, IncreasesByOneOnSuccessUpToMaximum)
{
    CHECK_EQUAL(1U, limit.limit());
    completeRequests(limit, clock, 3);
    CHECK_EQUAL(2U, limit.limit());
    completeRequests(limit, clock, 100);
    CHECK_EQUAL(5U, limit.limit());
}

TEST(WarmupLimit, DoesNotIncreaseWhileLimitIsNotReached)
{
    for (int index = 0; index < 100; ++index) {
        clock.advance(std::chrono::seconds(1));
        limit.onFinished({ .outcome = RequestOutcome::Completed, .latency = normalLatency }, 0);
    }
    CHECK_EQUAL(1U, limit.limit());
}

TEST(WarmupLimit, HalvesOnceForConcurrentFailures)
{
    completeRequests(limit, clock, 100);
    limit.onFinished({ .outcome = RequestOutcome::Rejected }, 5);
    limit.onFinished({ .outcome = RequestOutcome::TimedOut }, 4);
    CHECK_EQUAL(2U, limit.limit());
}

TEST(WarmupLimit, RestartsAfterConsecutiveRejections)
{
    completeRequests(limit, clock, 100);
    for (int index = 0; index < 3; ++index)
        limit.onFinished({ .outcome = RequestOutcome::Rejected }, 5);
    CHECK_EQUAL(1U, limit.limit());
}

TEST(WarmupLimit, RestartsOnSustainedLatencyIncrease)
{
    completeRequests(limit, clock, 100);
    // Enough latencies for two full windows, wherever the current window started.
    completeRequests(limit, clock, 48, 10 * normalLatency);
    CHECK_EQUAL(1U, limit.limit());
}

TEST(WarmupLimit, DecreasesByOneWhenLatencyRises)
{
    completeRequests(limit, clock, 96);
    completeRequests(limit, clock, 16, 3 * normalLatency);
    CHECK_EQUAL(4U, limit.limit());
}

TEST(WarmupLimit, IgnoresMixOfFastAndSlowRequests)
{
    CHECK(rc::check("a mix of fast and slow requests does not lower the limit", [] {
        ManualClock clock;
        WarmupLimit limit({}, clock);
        for (int index = 0; index < 500; ++index) {
            clock.advance(std::chrono::milliseconds(400));
            const auto slow = *rc::gen::inRange(0, 2) == 1;
            limit.onFinished({ .outcome = RequestOutcome::Completed, .latency = slow ? 20 * normalLatency : normalLatency }, limit.limit());
        }
        RC_ASSERT(limit.limit() == 5U);
    }));
}

TEST(WarmupLimit, AdaptsToPermanentlySlowerServer)
{
    completeRequests(limit, clock, 100);
    completeRequests(limit, clock, 1000, 10 * normalLatency);
    CHECK_EQUAL(5U, limit.limit());
}

TEST(WarmupLimit, CapNeverRaisesLimit)
{
    completeRequests(limit, clock, 100);
    limit.lower(2, std::chrono::seconds(1));
    CHECK_EQUAL(2U, limit.limit());
    limit.lower(50, std::chrono::seconds(1));
    CHECK_EQUAL(5U, limit.limit());
    limit.restart();
    limit.lower(50, std::chrono::seconds(1));
    CHECK_EQUAL(1U, limit.limit());
}

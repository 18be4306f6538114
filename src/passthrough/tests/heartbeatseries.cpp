#include "passthrough/heartbeatseries.h"

#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::passthrough;

// clang-format off
TEST_GROUP(HeartbeatSeries)
{
    const Duration interval = std::chrono::milliseconds(800);
    ManualClock clock;
    HeartbeatSeries series { interval };

    void record(std::uint64_t sequence, const std::string& name = "i-1")
    {
        series.record({ .name = name, .sequence = sequence, .startedAtMs = 100 }, clock.now());
    }
};
// clang-format on

TEST(HeartbeatSeries, GrowsWithEachHeartbeatOfOneInstance)
{
    LONGS_EQUAL(0, series.length());
    for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
        record(sequence);
        clock.advance(interval);
    }
    LONGS_EQUAL(4, series.length());
    CHECK(series.age(clock.now()) == 4 * interval);
}

// Delayed heartbeats arrive together, or out of order.
TEST(HeartbeatSeries, DoesNotGrowWithBurstOrEarlierHeartbeats)
{
    for (std::uint64_t sequence = 5; sequence <= 9; ++sequence)
        record(sequence);
    LONGS_EQUAL(1, series.length());
    clock.advance(interval);
    record(4);
    LONGS_EQUAL(1, series.length());
}

TEST(HeartbeatSeries, StartsAgainAfterGapOrWithOtherInstance)
{
    record(1);
    clock.advance(interval);
    record(2);
    clock.advance(3 * interval);
    record(3);
    LONGS_EQUAL(1, series.length());
    clock.advance(interval);
    record(4);
    record(1, "i-2");
    LONGS_EQUAL(1, series.length());
}

// A series may have begun after the agent was resumed.
TEST(HeartbeatSeries, PauseDoesNotMoveStartBeyondNow)
{
    record(1);
    clock.advance(interval);
    series.skip(5 * interval, clock.now());
    CHECK(series.age(clock.now()) == Duration::zero());
}

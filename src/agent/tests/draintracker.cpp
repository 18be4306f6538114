#include "agent/draintracker.h"

#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::agent;

// clang-format off
TEST_GROUP(DrainTracker)
{
    ManualClock clock;
};
// clang-format on

TEST(DrainTracker, WaitsForFlowsIndefinitelyWithoutLimit)
{
    DrainTracker tracker(clock, Duration(0));
    clock.advance(std::chrono::hours(10));
    CHECK(tracker.check(1, 0) == DrainStatus::Waiting);
    CHECK(tracker.check(0, 0) == DrainStatus::Complete);
}

TEST(DrainTracker, TimesOutAtLimit)
{
    DrainTracker tracker(clock, std::chrono::seconds(30));
    clock.advance(std::chrono::seconds(29));
    CHECK(tracker.check(1, 0) == DrainStatus::Waiting);
    clock.advance(std::chrono::seconds(1));
    CHECK(tracker.check(1, 0) == DrainStatus::TimedOut);
}

TEST(DrainTracker, WaitsLimitedTimeForUndeliveredBytes)
{
    DrainTracker tracker(clock, Duration(0));
    CHECK(tracker.check(0, 1) == DrainStatus::Waiting);
    clock.advance(DrainTracker::lingerTimeout);
    CHECK(tracker.check(0, 1) == DrainStatus::Complete);
}

TEST(DrainTracker, NewFlowRestartsWaitForUndeliveredBytes)
{
    DrainTracker tracker(clock, Duration(0));
    tracker.check(0, 1);
    clock.advance(DrainTracker::lingerTimeout);
    CHECK(tracker.check(1, 1) == DrainStatus::Waiting);
    CHECK(tracker.check(0, 1) == DrainStatus::Waiting);
}

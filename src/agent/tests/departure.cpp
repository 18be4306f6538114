#include "agent/departure.h"

#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::agent;

// clang-format off
TEST_GROUP(Departure)
{
    ManualClock clock;
};
// clang-format on

TEST(Departure, WaitsForFlowsWithoutEndUnlessLimited)
{
    Departure departure(clock, Duration(0));
    clock.advance(std::chrono::hours(10));
    CHECK(departure.check(1, 0) == DepartureVerdict::Wait);
    CHECK(departure.check(0, 0) == DepartureVerdict::FlowsEnded);
}

TEST(Departure, GivesUpAtTheLimit)
{
    Departure departure(clock, std::chrono::seconds(30));
    clock.advance(std::chrono::seconds(29));
    CHECK(departure.check(1, 0) == DepartureVerdict::Wait);
    clock.advance(std::chrono::seconds(1));
    CHECK(departure.check(1, 0) == DepartureVerdict::TimedOut);
}

TEST(Departure, WaitsABoundedTimeForTheLastBytes)
{
    Departure departure(clock, Duration(0));
    CHECK(departure.check(0, 1) == DepartureVerdict::Wait);
    clock.advance(Departure::lingerTimeout);
    CHECK(departure.check(0, 1) == DepartureVerdict::FlowsEnded);
}

TEST(Departure, AFlowThatOpensMeanwhileStartsTheWaitForItsBytesAnew)
{
    Departure departure(clock, Duration(0));
    departure.check(0, 1);
    clock.advance(Departure::lingerTimeout);
    CHECK(departure.check(1, 1) == DepartureVerdict::Wait);
    CHECK(departure.check(0, 1) == DepartureVerdict::Wait);
}

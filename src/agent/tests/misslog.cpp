#include "agent/internal/misslog.h"

#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::agent;

namespace {

fleet::FlowKey key(std::uint32_t caller)
{
    return { .caller = { .address = caller, .port = 1 }, .service = { .address = 1, .port = 80 } };
}

} // namespace

// clang-format off
TEST_GROUP(MissLog)
{
    ManualClock clock;
    MissLog misses { 4 };
};
// clang-format on

TEST(MissLog, KeepsStartOfStreak)
{
    const auto start = clock.now();
    CHECK(misses.recordMiss(key(1), 100, clock.now()) == start);
    clock.advance(std::chrono::seconds(100));
    CHECK(misses.recordMiss(key(1), 200, clock.now()) == start);
    clock.advance(std::chrono::seconds(100));
    CHECK(misses.recordMiss(key(1), 200, clock.now()) == start);
}

TEST(MissLog, EndsStreakAfterTimeout)
{
    misses.recordMiss(key(1), 100, clock.now());
    clock.advance(MissLog::streakTimeout);
    CHECK(misses.recordMiss(key(1), 100, clock.now()) == clock.now());
}

TEST(MissLog, LaterFlowOfSameKeyStartsNewStreak)
{
    misses.recordMiss(key(1), 100, clock.now());
    clock.advance(std::chrono::seconds(1));
    CHECK(misses.recordMiss(key(1), 0x40000000, clock.now()) == clock.now());
}

TEST(MissLog, EvictsOldestStreakAtCapacity)
{
    const auto start = clock.now();
    for (std::uint32_t caller = 0; caller < 1000; ++caller) {
        misses.recordMiss(key(caller), 1, clock.now());
        CHECK(misses.size() <= 4);
    }
    clock.advance(std::chrono::seconds(1));
    CHECK(misses.recordMiss(key(999), 1, clock.now()) == start);
    CHECK(misses.recordMiss(key(5), 1, clock.now()) == clock.now());
}

#include "passthrough/coldlimit.h"

#include "foundation/seededrandom.h"
#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <deque>
#include <rapidcheck.h>

using namespace clementinesill;
using namespace clementinesill::passthrough;

// clang-format off
TEST_GROUP(ColdLimit)
{
    ManualClock clock;
    ColdLimit cold { clock, { .factor = 1.5, .extraFlows = 5 } };
};
// clang-format on

TEST(ColdLimit, AWarmServerAndAServiceWithoutARateHaveNoLimit)
{
    for (int flow = 0; flow < 100; ++flow) {
        CHECK(cold.allows(2));
        cold.opened();
    }
    cold.setCold(std::chrono::seconds(2));
    CHECK_FALSE(cold.allows(2));
    CHECK(cold.allows(0));
}

// Load pattern: callers of a whole zone come back to servers that have just started.
TEST(ColdLimit, NoSecondHoldsMoreThanTheServerBears)
{
    CHECK(rc::check("any second, any arrivals", [](std::uint8_t rate, std::uint64_t seed) {
        SeededRandom random(seed);
        ManualClock clock;
        ColdLimit cold(clock, { .factor = 1.5, .extraFlows = 5 });
        cold.setCold(std::chrono::seconds(3));
        std::deque<MonotonicTime> opened;
        while (cold.cold()) {
            clock.advance(std::chrono::milliseconds(random.below(40)) + std::chrono::microseconds(100));
            if (!cold.cold() || !cold.allows(rate))
                continue;
            cold.opened();
            opened.push_back(clock.now());
            while (opened.front() + std::chrono::seconds(1) <= clock.now())
                opened.pop_front();
            RC_ASSERT(!rate || opened.size() <= rate * 1.5 + 5);
        }
    }));
}

TEST(ColdLimit, WhatAServerSaysDoesNotShortenWhatIsAssumed)
{
    cold.assumeCold(std::chrono::seconds(2));
    cold.setCold(std::chrono::seconds(0));
    CHECK(cold.cold());
    clock.advance(std::chrono::seconds(2));
    CHECK_FALSE(cold.cold());
}

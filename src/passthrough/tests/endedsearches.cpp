#include "passthrough/endedsearches.h"

#include "passthrough/tests/packets.h"
#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::passthrough;

// clang-format off
TEST_GROUP(EndedSearches)
{
    ManualClock clock;
    EndedSearches ended { clock, 3 };
};
// clang-format on

TEST(EndedSearches, WhatWaitsIsTakenOnce)
{
    ended.add(fromCaller(5000), {});
    CHECK_FALSE(ended.empty());
    LONGS_EQUAL(1, ended.take().size());
    CHECK(ended.empty());
}

TEST(EndedSearches, TheOldestGiveWay)
{
    for (std::uint16_t port = 1; port <= 5; ++port)
        ended.add(fromCaller(5000, 0, 1001, port), {});
    const auto taken = ended.take();
    LONGS_EQUAL(3, taken.size());
    LONGS_EQUAL(3, taken.front().packet.key.caller.port);
}

TEST(EndedSearches, WhatTheCallerHasSentAgainIsLeftToItsNewSearch)
{
    ended.add(fromCaller(5000), {});
    clock.advance(std::chrono::seconds(2));
    CHECK(ended.take().empty());
}

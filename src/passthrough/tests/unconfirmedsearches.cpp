#include "passthrough/unconfirmedsearches.h"

#include "passthrough/tests/packets.h"
#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::passthrough;

// clang-format off
TEST_GROUP(UnconfirmedSearches)
{
    ManualClock clock;
    UnconfirmedSearches unconfirmed { clock, 3 };
};
// clang-format on

TEST(UnconfirmedSearches, TakesEachSearchOnce)
{
    unconfirmed.add(callerPacket(5000), {});
    CHECK_FALSE(unconfirmed.empty());
    LONGS_EQUAL(1, unconfirmed.takeAll().size());
    CHECK(unconfirmed.empty());
}

TEST(UnconfirmedSearches, DropsOldestBeyondCapacity)
{
    for (std::uint16_t port = 1; port <= 5; ++port)
        unconfirmed.add(callerPacket(5000, 0, 1001, port), {});
    const auto fresh = unconfirmed.takeAll();
    LONGS_EQUAL(3, fresh.size());
    LONGS_EQUAL(3, fresh.front().packet.key.caller.port);
}

TEST(UnconfirmedSearches, DiscardsSearchesOlderThanCallersRetransmission)
{
    unconfirmed.add(callerPacket(5000), {});
    clock.advance(std::chrono::seconds(2));
    CHECK(unconfirmed.takeAll().empty());
}

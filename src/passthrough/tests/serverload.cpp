#include "passthrough/serverload.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::passthrough;

// clang-format off
TEST_GROUP(ServerLoad)
{
    ServerLoad load;

    void setup() override { load.setSlots(5); }
};
// clang-format on

TEST(ServerLoad, NobodyWaitsWhileASlotIsFree)
{
    for (int request = 0; request < 4; ++request)
        load.started();
    CHECK(load.hasFreeSlot());
    CHECK(load.expectedWait() == Duration::zero());
    load.started();
    CHECK_FALSE(load.hasFreeSlot());
    CHECK(load.expectedWait() > Duration::zero());
}

// Load pattern: a server that turns slow.
TEST(ServerLoad, TheExpectedWaitFollowsASlowServer)
{
    for (int request = 0; request < 100; ++request) {
        load.started();
        load.answered(std::chrono::milliseconds(150));
    }
    for (int request = 0; request < 10; ++request)
        load.started();
    const auto wait = load.expectedWait();
    CHECK(wait > std::chrono::milliseconds(150) && wait < std::chrono::milliseconds(200));
}

// Load pattern: a queue that stands. Time in the queue must not be taken for time of work.
TEST(ServerLoad, AStandingQueueDoesNotMakeTheServerLookSlow)
{
    for (int request = 0; request < 20; ++request)
        load.started();
    for (int request = 0; request < 200; ++request) {
        load.started();
        load.answered(std::chrono::milliseconds(4 * 30));
    }
    CHECK(load.expectedWait() < std::chrono::milliseconds(150));
}

TEST(ServerLoad, EndsNeverCountBelowZero)
{
    load.abandoned();
    LONGS_EQUAL(0, load.outstanding());
}

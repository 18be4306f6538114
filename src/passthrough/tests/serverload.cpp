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

TEST(ServerLoad, NoQueueingDelayWhileSlotIsFree)
{
    for (int request = 0; request < 4; ++request)
        load.requestStarted();
    CHECK(load.hasFreeSlot());
    CHECK(load.expectedQueueingDelay() == Duration::zero());
    load.requestStarted();
    CHECK_FALSE(load.hasFreeSlot());
    CHECK(load.expectedQueueingDelay() > Duration::zero());
}

// A server becomes slow.
TEST(ServerLoad, QueueingDelayFollowsServiceTimeOfSlowServer)
{
    for (int request = 0; request < 100; ++request) {
        load.requestStarted();
        load.responseStarted(std::chrono::milliseconds(150));
    }
    for (int request = 0; request < 10; ++request)
        load.requestStarted();
    const auto delay = load.expectedQueueingDelay();
    CHECK(delay > std::chrono::milliseconds(150) && delay < std::chrono::milliseconds(200));
}

// With a constant queue, time in the queue must not be counted as service time.
TEST(ServerLoad, QueueDoesNotIncreaseServiceTime)
{
    for (int request = 0; request < 20; ++request)
        load.requestStarted();
    for (int request = 0; request < 200; ++request) {
        load.requestStarted();
        load.responseStarted(std::chrono::milliseconds(4 * 30));
    }
    CHECK(load.expectedQueueingDelay() < std::chrono::milliseconds(150));
}

TEST(ServerLoad, OutstandingRequestsNeverDropBelowZero)
{
    load.requestAbandoned();
    LONGS_EQUAL(0, load.outstanding());
}

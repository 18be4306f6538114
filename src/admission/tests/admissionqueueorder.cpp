#include "admission/admissionqueue.h"

#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::admission;
using namespace std::chrono_literals;

// clang-format off
TEST_GROUP(AdmissionQueueOrder)
{
    ManualClock clock;
    AdmissionQueue queue { { .maximumLength = 3 }, clock };

    QueueTraits traits(std::uint32_t priority = 1) const
    {
        return { .priority = priority, .expectedWork = 40ms, .targetTime = clock.now() + 300ms, .latestStart = clock.now() + 100ms };
    }

    std::uint64_t add(const QueueTraits& added) { return queue.push(added, 0ms, 0ms).id.value(); }

    // The later one goes first, so that the order is not that of arrival.
    void checkGoesFirst(const QueueTraits& first, const QueueTraits& second)
    {
        const auto secondId = add(second);
        const auto firstId = add(first);
        CHECK(queue.pop() == firstId);
        CHECK(queue.pop() == secondId);
    }
};
// clang-format on

// Each test guards against one criterion of the order that is missing or evaluated after a later one.
TEST(AdmissionQueueOrder, HigherPriorityGoesFirst)
{
    auto high = traits(0);
    high.targetTime = clock.now();
    checkGoesFirst(high, traits(1));
}

TEST(AdmissionQueueOrder, RequestThatMeetsItsTargetGoesBeforeOneThatCannot)
{
    auto late = traits();
    late.expectedWork = 1ms;
    late.targetTime = clock.now();
    checkGoesFirst(traits(), late);
}

TEST(AdmissionQueueOrder, LessWorkInPowersOfTwoGoesFirst)
{
    auto quick = traits();
    quick.expectedWork = 20ms;
    quick.targetTime += 1ms;
    checkGoesFirst(quick, traits());
    // 40 and 52 ms are equal, so the earlier target decides.
    auto similar = traits();
    similar.expectedWork = 52ms;
    similar.targetTime -= 1ms;
    checkGoesFirst(similar, traits());
}

TEST(AdmissionQueueOrder, EqualRequestsGoInOrderOfArrival)
{
    const auto first = add(traits());
    const auto second = add(traits());
    CHECK(queue.pop() == first);
    CHECK(queue.pop() == second);
}

TEST(AdmissionQueueOrder, HalfOfTheMaximumWaitRaisesPriorityByOneLevel)
{
    const auto low = add(traits(2));
    clock.advance(49ms);
    add(traits(1));
    CHECK(queue.expectedWait(traits(1), 0ms, 1ms) == 1ms);
    clock.advance(1ms);
    const auto high = add(traits(0));
    CHECK(queue.pop() == high);
    CHECK(queue.pop() == low);
}

// A request without time to wait would otherwise count as aged on arrival.
TEST(AdmissionQueueOrder, RequestThatCannotWaitIsNotAged)
{
    const auto first = add(traits());
    auto immediate = traits();
    immediate.latestStart = clock.now();
    add(immediate);
    CHECK(queue.pop() == first);
}

TEST(AdmissionQueueOrder, FullQueueDisplacesTheLatestOfTheLast)
{
    add(traits(1));
    add(traits(2));
    const auto last = add(traits(2));
    CHECK_FALSE(queue.push(traits(2), 0ms, 0ms).id.has_value());
    const auto result = queue.push(traits(1), 0ms, 0ms);
    CHECK(result.id.has_value());
    CHECK(result.displaced == std::vector { last });
}

// Guards against requests that wait although their slot comes too late.
TEST(AdmissionQueueOrder, RejectsAndDisplacesThoseThatCannotStartInTime)
{
    CHECK_FALSE(queue.push(traits(), 101ms, 0ms).id.has_value());
    CHECK_FALSE(queue.push(traits(), Duration::max(), Duration::max()).id.has_value());
    const auto low = queue.push(traits(2), 50ms, 60ms).id.value();
    CHECK_FALSE(queue.push(traits(2), 50ms, 60ms).id.has_value());
    CHECK_EQUAL(1U, queue.size());
    CHECK(queue.push(traits(1), 50ms, 60ms).displaced == std::vector { low });
}

// Guards against expired requests that are started, that count as ahead of others or that fill the queue.
TEST(AdmissionQueueOrder, ExpiredRequestTakesNoPlace)
{
    for (int index = 0; index < 3; ++index)
        add(traits(0));
    CHECK(queue.nextExpiry() == clock.now() + 100ms);
    clock.advance(101ms);
    CHECK_FALSE(queue.pop().has_value());
    CHECK(queue.expectedWait(traits(2), 1ms, 1ms) == 1ms);
    CHECK_EQUAL(3U, queue.takeExpired().size());
    CHECK(queue.empty());
    CHECK_FALSE(queue.nextExpiry().has_value());
}

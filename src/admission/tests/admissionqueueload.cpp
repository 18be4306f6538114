#include "queuemodel.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::admission;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t readClass = 0;
constexpr std::size_t orderClass = 1;
constexpr std::uint64_t seeds = 3;
constexpr auto window = 2s;
constexpr double minimumGoodput = 0.95;
constexpr double minimumServed = 0.95;
constexpr double minimumServedAfterBurst = 0.98;

// Classes 1 and 2 of deployment P in docs/hard-load.md.
RequestLoad reads(double burst)
{
    return { .rate = 1314, .burst = burst, .priority = 2, .work = 40ms, .latencyTarget = 300ms, .timeout = 3s };
}

RequestLoad orders(double burst)
{
    return { .rate = 375, .burst = burst, .priority = 1, .work = 52ms, .latencyTarget = 400ms, .timeout = 4s };
}

// Requests per second that take up the given share of all slots.
double rateFor(double share, Duration work)
{
    const QueueModelOptions defaults;
    return share * defaults.servers * defaults.slots / std::chrono::duration<double>(work).count();
}

void checkGoodputInBurst(const QueueModelOptions& options, const QueueModelResult& result)
{
    for (auto begin = options.burstBegin; begin < options.burstEnd; begin += window)
        CHECK(result.goodput(options.servers * options.slots, begin, begin + window) >= minimumGoodput);
}

void checkBurst(QueueModelOptions options)
{
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        const auto result = QueueModel(options).run();
        checkGoodputInBurst(options, result);
        CHECK(result.served(orderClass, options.burstBegin, options.burstEnd) >= minimumServed);
        const auto begin = options.burstEnd + 1s;
        for (const auto index : { readClass, orderClass })
            CHECK(result.served(index, begin, begin + window) >= minimumServedAfterBurst);
    }
}

} // namespace

// clang-format off
TEST_GROUP(AdmissionQueueLoad) {};
// clang-format on

// Guards against goodput that breaks down under a burst, against reads that crowd out orders, and against a backlog that
// outlives the burst.
TEST(AdmissionQueueLoad, ServesOrdersAndKeepsGoodputInBurstOfAllClasses)
{
    for (const double burst : { 2.0, 4.0, 6.0 })
        checkBurst({ .classes = { reads(burst), orders(burst) } });
}

// Guards against a burst of one class that takes the slots of the other.
TEST(AdmissionQueueLoad, BurstOfOneClassDoesNotDisplaceTheOther)
{
    checkBurst({ .classes = { reads(6), orders(1) } });
    checkBurst({ .classes = { reads(1), orders(4) } });
}

// Guards against an order that ignores the work: half of the requests would be rejected instead of those that cost most.
TEST(AdmissionQueueLoad, ServesMoreRequestsOfEqualPriorityByLessWork)
{
    const RequestLoad quick { .rate = rateFor(0.25, 10ms), .burst = 4, .work = 10ms, .latencyTarget = 300ms, .timeout = 3s };
    const RequestLoad slow { .rate = rateFor(0.25, 80ms), .burst = 4, .work = 80ms, .latencyTarget = 300ms, .timeout = 3s };
    QueueModelOptions options { .classes = { quick, slow } };
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        const auto result = QueueModel(options).run();
        checkGoodputInBurst(options, result);
        CHECK(result.served(0, options.burstBegin, options.burstEnd) >= minimumServed);
        CHECK(result.servedRequests(1, options.burstBegin, options.burstEnd) > 0);
    }
}

// Guards against a low priority that is shut out although a tenth of the capacity is left, half of what it asks for.
TEST(AdmissionQueueLoad, ServesLowPriorityBesideHighPriorityAt90Percent)
{
    const RequestLoad high { .rate = rateFor(0.9, 40ms), .priority = 1, .work = 40ms, .latencyTarget = 300ms, .timeout = 3s };
    for (const std::uint32_t lowPriority : { 2U, 3U }) {
        const RequestLoad low { .rate = rateFor(0.2, 40ms), .priority = lowPriority, .work = 40ms, .latencyTarget = 300ms, .timeout = 3s };
        QueueModelOptions options { .classes = { high, low } };
        for (options.seed = 1; options.seed <= seeds; ++options.seed) {
            const auto result = QueueModel(options).run();
            checkGoodputInBurst(options, result);
            for (auto begin = options.burstBegin; begin < options.burstEnd; begin += window) {
                CHECK(result.served(0, begin, begin + window) >= minimumServed);
                CHECK(result.served(1, begin, begin + window) >= 0.35);
            }
            // No request is started after its latestStart.
            CHECK(result.longestWait() <= 100ms);
        }
    }
}

#include "passthrough/coldstartlimit.h"

#include "foundation/seededrandom.h"
#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <deque>
#include <optional>
#include <rapidcheck.h>

using namespace clementinesill;
using namespace clementinesill::passthrough;

// clang-format off
TEST_GROUP(ColdStartLimit)
{
    ManualClock clock;
    ColdStartLimit limit { clock, { .factor = 1.5, .extraFlows = 5 } };
};
// clang-format on

TEST(ColdStartLimit, NoLimitForWarmServerOrServiceWithoutRate)
{
    for (int flow = 0; flow < 100; ++flow) {
        CHECK(limit.allows(2));
        limit.recordFlow();
    }
    limit.setColdFor(std::chrono::seconds(2));
    CHECK_FALSE(limit.allows(2));
    CHECK(limit.allows(0));
}

// The callers of a whole zone return to servers that have just started.
TEST(ColdStartLimit, FlowsWithinAnySecondStayWithinLimit)
{
    CHECK(rc::check("any one-second window, random arrivals", [](std::uint8_t rate, std::uint64_t seed) {
        SeededRandom random(seed);
        ManualClock clock;
        ColdStartLimit limit(clock, { .factor = 1.5, .extraFlows = 5 });
        limit.setColdFor(std::chrono::seconds(3));
        std::deque<MonotonicTime> flowStarts;
        while (limit.isCold()) {
            clock.advance(std::chrono::milliseconds(random.below(40)) + std::chrono::microseconds(100));
            if (!limit.isCold() || !limit.allows(rate))
                continue;
            limit.recordFlow();
            flowStarts.push_back(clock.now());
            while (flowStarts.front() + std::chrono::seconds(1) <= clock.now())
                flowStarts.pop_front();
            RC_ASSERT(!rate || flowStarts.size() <= rate * 1.5 + 5);
        }
    }));
}

// Guards against an agent that is restarted and lets a cold server get its whole rate once more (review/10).
TEST(ColdStartLimit, FlowsWithinAnySecondStayWithinLimitAcrossRestartsOfAgent)
{
    CHECK(rc::check("any one-second window, restarts at random times, killed or stopped", [](std::uint8_t rate, std::uint64_t seed) {
        SeededRandom random(seed);
        ManualClock clock;
        std::optional<ColdStartLimit> limit;
        std::deque<MonotonicTime> flowStarts;
        const auto end = clock.now() + std::chrono::seconds(10);
        while (clock.now() < end) {
            if (!limit || random.below(50) == 0) {
                clock.advance(std::chrono::milliseconds(random.below(500)));
                limit.emplace(clock, ColdStartLimitOptions { .factor = 1.5, .extraFlows = 5 });
                limit->setColdFor(std::chrono::seconds(20));
            }
            clock.advance(std::chrono::milliseconds(random.below(40)) + std::chrono::microseconds(100));
            if (!limit->allows(rate))
                continue;
            limit->recordFlow();
            flowStarts.push_back(clock.now());
            while (flowStarts.front() + std::chrono::seconds(1) <= clock.now())
                flowStarts.pop_front();
            RC_ASSERT(!rate || flowStarts.size() <= rate * 1.5 + 5);
        }
    }));
}

TEST(ColdStartLimit, HeartbeatDoesNotShortenAssumedColdTime)
{
    limit.assumeCold(std::chrono::seconds(2));
    limit.setColdFor(std::chrono::seconds(0));
    CHECK(limit.isCold());
    clock.advance(std::chrono::seconds(2));
    CHECK_FALSE(limit.isCold());
}

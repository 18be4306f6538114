#include "foundation/logratelimiter.h"

#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace clementinesill;

// clang-format off
TEST_GROUP(LogRateLimiter)
{
    ManualClock clock;
    LogRateLimiter rateLimiter { 5 };

    int admittedCount(const char* event, int lines)
    {
        int count = 0;
        for (int line = 0; line < lines; ++line)
            count += rateLimiter.admit(event, clock.now());
        return count;
    }
};
// clang-format on

// Load pattern: many decisions within a second that log one line each.
TEST(LogRateLimiter, LimitsRateAndReportsSuppressedLines)
{
    LONGS_EQUAL(5, admittedCount("packet_dropped", 10000));
    CHECK(rateLimiter.takeSuppressed(clock.now()).empty());
    clock.advance(std::chrono::seconds(1));
    const auto reported = rateLimiter.takeSuppressed(clock.now());
    LONGS_EQUAL(1, reported.size());
    STRCMP_EQUAL("packet_dropped", reported[0].event.c_str());
    LONGS_EQUAL(9995, reported[0].lines);
    CHECK(rateLimiter.takeSuppressed(clock.now()).empty());
}

TEST(LogRateLimiter, LimitsEachEventSeparately)
{
    admittedCount("packet_dropped", 10000);
    LONGS_EQUAL(3, admittedCount("leader_lost", 3));
}

TEST(LogRateLimiter, EveryLineIsAdmittedOrReported)
{
    CHECK(rc::check("admitted and reported lines add up to all lines", [](const std::vector<std::uint8_t>& pauses) {
        ManualClock clock;
        LogRateLimiter rateLimiter(3);
        std::uint64_t admittedLines = 0;
        std::uint64_t reported = 0;
        for (const auto pause : pauses) {
            admittedLines += rateLimiter.admit("event", clock.now());
            clock.advance(std::chrono::milliseconds(pause * 4));
            for (const auto& suppressed : rateLimiter.takeSuppressed(clock.now()))
                reported += suppressed.lines;
        }
        clock.advance(std::chrono::seconds(1));
        for (const auto& suppressed : rateLimiter.takeSuppressed(clock.now()))
            reported += suppressed.lines;
        RC_ASSERT(admittedLines + reported == pauses.size());
    }));
}

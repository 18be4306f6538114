#include "foundation/logbudget.h"

#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace clementinesill;

// clang-format off
TEST_GROUP(LogBudget)
{
    ManualClock clock;
    LogBudget budget { 5 };

    int admitted(const char* event, int lines)
    {
        int count = 0;
        for (int line = 0; line < lines; ++line)
            count += budget.admit(event, clock.now());
        return count;
    }
};
// clang-format on

// Load pattern: a flood of decisions, one line each.
TEST(LogBudget, AFloodKeepsWithinTheBudgetAndIsSummedUp)
{
    LONGS_EQUAL(5, admitted("packet_dropped", 10000));
    CHECK(budget.takeSurplus(clock.now()).empty());
    clock.advance(std::chrono::seconds(1));
    const auto told = budget.takeSurplus(clock.now());
    LONGS_EQUAL(1, told.size());
    STRCMP_EQUAL("packet_dropped", told[0].event.c_str());
    LONGS_EQUAL(9995, told[0].lines);
    CHECK(budget.takeSurplus(clock.now()).empty());
}

TEST(LogBudget, OneEventsFloodLeavesTheOthersTheirLines)
{
    admitted("packet_dropped", 10000);
    LONGS_EQUAL(3, admitted("leader_lost", 3));
}

TEST(LogBudget, EveryLineIsWrittenOrTold)
{
    CHECK(rc::check("lines written and lines told add up", [](const std::vector<std::uint8_t>& pauses) {
        ManualClock clock;
        LogBudget budget(3);
        std::uint64_t written = 0;
        std::uint64_t told = 0;
        for (const auto pause : pauses) {
            written += budget.admit("event", clock.now());
            clock.advance(std::chrono::milliseconds(pause * 4));
            for (const auto& surplus : budget.takeSurplus(clock.now()))
                told += surplus.lines;
        }
        clock.advance(std::chrono::seconds(1));
        for (const auto& surplus : budget.takeSurplus(clock.now()))
            told += surplus.lines;
        RC_ASSERT(written + told == pauses.size());
    }));
}

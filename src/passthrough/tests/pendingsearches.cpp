#include "passthrough/pendingsearches.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill::passthrough;

// clang-format off
TEST_GROUP(PendingSearches) {};
// clang-format on

TEST(PendingSearches, FindsSearchByMarkUntilOverwritten)
{
    PendingSearches pending(4);
    Search search;
    search.route.serverId = 7;
    const auto mark = pending.store(search);
    CHECK(mark != 0);
    LONGS_EQUAL(7, pending.find(mark)->route.serverId);
    for (int other = 0; other < 4; ++other)
        pending.store({});
    CHECK(pending.find(mark) == nullptr);
    CHECK(pending.find(0) == nullptr);
}

#include "control/tablehistory.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <rapidcheck.h>

using namespace clementinesill;
using namespace clementinesill::control;

namespace {

TableChange changeOfRoutes(int routes)
{
    TableChange change;
    for (int route = 0; route < routes; ++route)
        change.routes.insert("198.18." + std::to_string(route / 250) + "." + std::to_string(route % 250) + ":8443");
    return change;
}

} // namespace

// clang-format off
TEST_GROUP(TableHistory) {};
// clang-format on

// Guards against a controller that exceeds its memory of 256 MB after 1,400 changes of 1,290 routes each.
TEST(TableHistory, LargeChangesDoNotExceedMemoryLimit)
{
    constexpr TableHistoryOptions options;
    TableHistory history;
    for (std::uint64_t version = 1; version <= 2000; ++version) {
        history.push(version, changeOfRoutes(1290));
        CHECK(history.bytes() <= options.maxBytes);
    }
    CHECK(history.since(1990).has_value());
    LONGS_EQUAL(1290, history.since(1999)->routes.size());
    CHECK_FALSE(history.since(1).has_value());
}

TEST(TableHistory, ChangeBeyondMemoryLimitLeavesEmptyHistory)
{
    TableHistory history({ .maxVersions = 10, .maxBytes = 1000 });
    history.push(1, changeOfRoutes(1));
    history.push(2, changeOfRoutes(100));
    LONGS_EQUAL(0, history.bytes());
    CHECK_FALSE(history.since(1).has_value());
    CHECK(history.since(2).has_value() && history.since(2)->empty());
    history.push(3, changeOfRoutes(2));
    LONGS_EQUAL(2, history.since(2)->routes.size());
}

TEST(TableHistory, HoldsNewestChangesWithinLimits)
{
    CHECK(rc::check("changes of any size", [](const std::vector<std::uint8_t>& sizes) {
        TableHistory history({ .maxVersions = 5, .maxBytes = 6000 });
        for (std::size_t index = 0; index < sizes.size(); ++index) {
            history.push(index + 1, changeOfRoutes(sizes[index] % 32));
            RC_ASSERT(history.bytes() <= 6000);
            for (std::size_t version = 0; version <= index + 1; ++version) {
                std::size_t bytes = 0;
                std::size_t most = 0;
                for (auto later = version; later <= index; ++later) {
                    bytes += changeOfRoutes(sizes[later] % 32).bytes();
                    most = std::max<std::size_t>(most, sizes[later] % 32);
                }
                const auto change = history.since(version);
                RC_ASSERT(change.has_value() == (index + 1 - version <= 5 && bytes <= 6000));
                RC_ASSERT(!change || change->routes.size() == most);
            }
        }
    }));
}

#include "fleet/tableholder.h"

#include "fleet.pb.h"
#include "fleet/fleettable.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::fleet;

// clang-format off
TEST_GROUP(TableHolder) {};
// clang-format on

TEST(TableHolder, NeverGoesBack)
{
    const auto tableAt = [](std::uint64_t version) {
        schema::Table table;
        table.set_version(version);
        return std::make_shared<const FleetTable>(table);
    };
    TableHolder holder;
    CHECK(holder.offer(tableAt(5)));
    CHECK_FALSE(holder.offer(tableAt(4)));
    CHECK_FALSE(holder.offer(tableAt(5)));
    LONGS_EQUAL(5, holder.table()->version());
}

#include "fleet/tableholder.h"

#include "fleet.pb.h"
#include "fleet/fleettable.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::fleet;

// clang-format off
TEST_GROUP(TableHolder) {};
// clang-format on

namespace {

std::shared_ptr<const FleetTable> makeTable(std::uint64_t version)
{
    schema::Table table;
    table.set_version(version);
    return std::make_shared<const FleetTable>(table);
}

} // namespace

TEST(TableHolder, RejectsOlderVersions)
{
    TableHolder holder;
    CHECK(holder.replaceIfNewer(makeTable(5)));
    CHECK_FALSE(holder.replaceIfNewer(makeTable(4)));
    CHECK_FALSE(holder.replaceIfNewer(makeTable(5)));
    LONGS_EQUAL(5, holder.table()->version());
}

TEST(TableHolder, IsConfirmedOnlyForCurrentVersion)
{
    const MonotonicTime start {};
    TableHolder holder;
    holder.replaceIfNewer(makeTable(5));
    holder.confirm(6, start + std::chrono::seconds(9));
    CHECK(holder.confirmedAt() == start);
    holder.confirm(5, start + std::chrono::seconds(4));
    holder.confirm(5, start + std::chrono::seconds(3));
    CHECK(holder.confirmedAt() == start + std::chrono::seconds(4));
}

// Otherwise an agent whose controller has an old table would stay with it, although it renews at the leader every second.
TEST(TableHolder, NewerVersionInLeadersResponseIsRecordedAsSeen)
{
    TableHolder holder;
    holder.replaceIfNewer(makeTable(5));
    holder.confirmByLeader(6, MonotonicTime() + std::chrono::seconds(4));
    LONGS_EQUAL(6, holder.highestVersionSeen());
    CHECK(holder.leaderConfirmedAt() == MonotonicTime());
}

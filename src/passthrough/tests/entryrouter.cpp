#include "passthrough/entryrouter.h"

#include "dataplane/internal/flowcache.h"
#include "dataplane/types/holder.h"
#include "passthrough/tests/relaytable.h"
#include "passthrough/zonerank.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>
#include <set>

using namespace clementinesill;
using namespace clementinesill::passthrough;

// clang-format off
TEST_GROUP(EntryRouter)
{
    RelayTable tables;
    dataplane::FlowCache cache { 1024 };
    EntryRouter router { cache, "mandaue" };
};
// clang-format on

TEST(EntryRouter, ANewFlowGoesToTheCallersZone)
{
    const auto table = tables.build();
    for (std::uint16_t port = 1; port < 50; ++port) {
        const auto decision = router.decide(opening(port), *table);
        CHECK(decision.action == EntryAction::Forward);
        CHECK(decision.opensFlow);
        STRCMP_EQUAL("mandaue", decision.server->zone.c_str());
    }
}

TEST(EntryRouter, ACopyOfAnOpeningGoesToTheNextServer)
{
    const auto table = tables.build();
    std::set<std::uint32_t> asked;
    for (std::uint32_t copy = 0; copy < 3; ++copy)
        asked.insert(router.decide(opening(1, copy), *table).server->id);
    LONGS_EQUAL(3, asked.size());
}

TEST(EntryRouter, ServersThatTakeNothingNewAreLeftOut)
{
    tables.server(1).set_state(schema::SERVER_STATE_DRAINING);
    tables.server(2).set_state(schema::SERVER_STATE_SILENT);
    const auto table = tables.build();
    for (std::uint16_t port = 1; port < 20; ++port)
        LONGS_EQUAL(3, router.decide(opening(port), *table).server->id);
    tables.server(3).set_state(schema::SERVER_STATE_DRAINING);
    CHECK(router.decide(opening(1), *tables.build()).action == EntryAction::Reset);
}

TEST(EntryRouter, PacketsOfAFlowFollowItsOpeningAndWhatAgentsSay)
{
    const auto table = tables.build();
    const auto first = router.decide(opening(), *table).server->id;
    auto next = router.decide(fromCaller(5000), *table);
    CHECK(next.fromCache);
    LONGS_EQUAL(first, next.server->id);
    router.learn({ .key = testFlow(), .serverId = 3, .incarnation = 1 }, *table);
    LONGS_EQUAL(3, router.decide(fromCaller(5000), *table).server->id);
    // Another start of the server holds nothing of before.
    tables.server(3).set_incarnation(2);
    CHECK_FALSE(router.decide(fromCaller(5000), *tables.build()).fromCache);
}

TEST(EntryRouter, AnUnknownFlowIsAskedForWhereNewOnesGoAlsoInAZoneThatIsOut)
{
    auto& zone = *tables.table().add_zones();
    zone.set_name("mandaue");
    zone.set_state(schema::ZONE_STATE_OUT);
    const auto table = tables.build();
    STRCMP_EQUAL("mandaue", router.decide(fromCaller(5000), *table).server->zone.c_str());
    LONGS_EQUAL(3, router.decide(opening(), *table).server->id);
}

TEST(EntryRouter, OnlyAFlowThatIsNotOpenIsRefusedForWantOfARoute)
{
    tables.table().clear_routes();
    const auto table = tables.build();
    CHECK(router.decide(opening(), *table).action == EntryAction::Reset);
    CHECK(router.decide(fromCaller(5000), *table).action == EntryAction::Drop);
}

TEST(EntryRouter, WithoutATableNothingIsSaid)
{
    CHECK(router.decide(opening(), fleet::FleetTable()).action == EntryAction::Drop);
}

TEST(EntryRouter, AServersLossMovesOnlyItsOwnPlace)
{
    CHECK(rc::check("the order of the others stays", [](std::uint64_t flowHash) {
        RelayTable tables;
        const auto whole = tables.build();
        const auto order = rankFromZone(flowHash, whole->service(deskService)->servers, "mandaue");
        tables.table().mutable_servers()->DeleteSubrange(1, 1);
        const auto fewer = tables.build();
        std::vector<std::uint32_t> expected;
        for (const auto* server : order) {
            if (server->id != 2)
                expected.push_back(server->id);
        }
        std::vector<std::uint32_t> found;
        for (const auto* server : rankFromZone(flowHash, fewer->service(deskService)->servers, "mandaue"))
            found.push_back(server->id);
        RC_ASSERT(found == expected);
    }));
}

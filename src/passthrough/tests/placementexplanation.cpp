#include "passthrough/placementexplanation.h"

#include "admin.pb.h"
#include "dataplane/internal/flowcache.h"
#include "dataplane/types/loadnotice.h"
#include "foundation/seededrandom.h"
#include "passthrough/entryrouter.h"
#include "passthrough/serverloadview.h"
#include "passthrough/tests/testtable.h"
#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>
#include <set>

using namespace clementinesill;
using namespace clementinesill::passthrough;
using dataplane::LoadLevel;
using namespace std::chrono_literals;

// clang-format off
TEST_GROUP(PlacementExplanation)
{
    ManualClock clock;
    TestTable tables;
    ServerLoadView view { clock };

    schema::PlacementRecord explain(const fleet::FleetTable& table, const ServerLoadView* loadView)
    {
        const auto list = explainPlacement(testService, table, "mandaue", loadView);
        LONGS_EQUAL(1, list.records_size());
        return list.records(0);
    }
};
// clang-format on

// Guards against an explanation that shows another state than the one that decides.
TEST(PlacementExplanation, ShowsWhatIsKnownAboutEachServer)
{
    tables.table().mutable_routes(0)->set_priority(3);
    tables.server(2).set_state(schema::SERVER_STATE_DRAINING);
    const auto table = tables.build();
    view.apply({ .level = LoadLevel::Full, .priority = 2, .validity = 100ms, .servers = { 1 } }, *table);
    clock.advance(30ms);
    const auto record = explain(*table, &view);
    STRCMP_EQUAL("placed", record.decision().c_str());
    STRCMP_EQUAL("desk", record.service().c_str());
    LONGS_EQUAL(3, record.candidates(0).server_id());
    LONGS_EQUAL(1, record.candidates(0).place());
    const auto& full = record.candidates(1);
    STRCMP_EQUAL("full", full.load().c_str());
    LONGS_EQUAL(0, full.place());
    LONGS_EQUAL(2, full.full_priority());
    LONGS_EQUAL(30, full.age_ms());
    LONGS_EQUAL(70, full.expires_in_ms());
    STRCMP_EQUAL("draining", record.candidates(2).load().c_str());
    view.apply({ .level = LoadLevel::Full, .priority = 2, .validity = 100ms, .servers = { 3 } }, *table);
    STRCMP_EQUAL("service_full", explain(*table, &view).reason().c_str());
    STRCMP_EQUAL("first_accepting", explain(*table, nullptr).reason().c_str());
}

TEST(PlacementExplanation, NamesRuleWithoutRouteOrServer)
{
    const auto withoutTable = explain(fleet::FleetTable(), &view);
    STRCMP_EQUAL("dropped", withoutTable.decision().c_str());
    STRCMP_EQUAL("no_table", withoutTable.reason().c_str());
    for (std::uint32_t id = 1; id <= 3; ++id)
        tables.server(id).set_state(schema::SERVER_STATE_DRAINING);
    STRCMP_EQUAL("no_server", explain(*tables.build(), &view).reason().c_str());
    tables.table().clear_routes();
    const auto record = explain(*tables.build(), &view);
    STRCMP_EQUAL("rejected", record.decision().c_str());
    STRCMP_EQUAL("no_route", record.reason().c_str());
}

// Guards against an order that differs from the router's: every new flow goes to a server of the first place.
TEST(PlacementExplanation, AgreesWithRouter)
{
    CHECK(rc::check("router selects the first place", [](std::uint64_t seed) {
        const ManualClock clock;
        TestTable tables;
        tables.table().mutable_routes(0)->set_kind(seed % 2 ? schema::REQUEST_KIND_DOWNLOAD : schema::REQUEST_KIND_UNSAFE);
        const auto servers = static_cast<std::uint32_t>(4 + seed % 40);
        for (std::uint32_t id = 5; id <= servers; ++id) {
            auto& server = *tables.table().add_servers();
            server = tables.server(1 + (id + seed) % 4);
            server.set_id(id);
        }
        const auto table = tables.build();
        ServerLoadView view(clock);
        SeededRandom random(seed);
        for (std::uint32_t id = 1; id <= servers; ++id) {
            const auto state = random.below(4);
            if (state == 3)
                view.recordUnanswered(id);
            else if (state)
                view.apply({ .level = static_cast<LoadLevel>(state), .priority = 0, .validity = 100ms, .servers = { id } }, *table);
        }
        const auto list = explainPlacement(testService, *table, "mandaue", &view);
        const auto& record = list.records(0);
        std::set<std::uint32_t> firstPlace;
        for (const auto& candidate : record.candidates()) {
            if (candidate.place() == 1)
                firstPlace.insert(candidate.server_id());
        }
        dataplane::FlowCache cache(64);
        EntryRouter router(cache, "mandaue", &view);
        for (std::uint16_t port = 1; port <= 20; ++port) {
            const auto decision = router.decide(synPacket(port), *table);
            RC_ASSERT(name(decision.reason) == record.reason());
            RC_ASSERT((decision.server ? firstPlace.contains(decision.server->id) : firstPlace.empty()));
        }
    }));
}

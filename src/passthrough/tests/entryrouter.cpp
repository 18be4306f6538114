#include "passthrough/entryrouter.h"

#include "dataplane/internal/flowcache.h"
#include "dataplane/types/flowholder.h"
#include "passthrough/tests/testtable.h"
#include "passthrough/zonerank.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>
#include <set>

using namespace clementinesill;
using namespace clementinesill::passthrough;

// clang-format off
TEST_GROUP(EntryRouter)
{
    TestTable tables;
    dataplane::FlowCache cache { 1024 };
    EntryRouter router { cache, "mandaue" };
};
// clang-format on

TEST(EntryRouter, ForwardsNewFlowToCallersZone)
{
    const auto table = tables.build();
    for (std::uint16_t port = 1; port < 50; ++port) {
        const auto decision = router.decide(synPacket(port), *table);
        CHECK(decision.action == EntryAction::Forward);
        CHECK(decision.opensFlow);
        STRCMP_EQUAL("mandaue", decision.server->zone.c_str());
    }
}

TEST(EntryRouter, ForwardsRetransmittedSynToNextServer)
{
    const auto table = tables.build();
    std::set<std::uint32_t> visited;
    for (std::uint32_t retransmissions = 0; retransmissions < 3; ++retransmissions)
        visited.insert(router.decide(synPacket(1, retransmissions), *table).server->id);
    LONGS_EQUAL(3, visited.size());
}

TEST(EntryRouter, SkipsServersThatDoNotAcceptNewFlows)
{
    tables.server(1).set_state(schema::SERVER_STATE_DRAINING);
    tables.server(2).set_state(schema::SERVER_STATE_SILENT);
    const auto table = tables.build();
    for (std::uint16_t port = 1; port < 20; ++port)
        LONGS_EQUAL(3, router.decide(synPacket(port), *table).server->id);
    tables.server(3).set_state(schema::SERVER_STATE_DRAINING);
    CHECK(router.decide(synPacket(1), *tables.build()).action == EntryAction::Reset);
}

TEST(EntryRouter, ForwardsToServerOfSynUntilAgentReportsHolder)
{
    const auto table = tables.build();
    const auto first = router.decide(synPacket(), *table).server->id;
    auto next = router.decide(callerPacket(5000), *table);
    CHECK(next.fromCache);
    LONGS_EQUAL(first, next.server->id);
    router.learn({ .key = testFlow(), .serverId = 3, .incarnation = 1 }, *table);
    LONGS_EQUAL(3, router.decide(callerPacket(5000), *table).server->id);
    // A new incarnation of the server holds none of its earlier flows.
    tables.server(3).set_incarnation(2);
    CHECK_FALSE(router.decide(callerPacket(5000), *tables.build()).fromCache);
}

TEST(EntryRouter, ForwardsUnknownFlowToOwnZoneEvenWhenZoneIsOut)
{
    auto& zone = *tables.table().add_zones();
    zone.set_name("mandaue");
    zone.set_state(schema::ZONE_STATE_OUT);
    const auto table = tables.build();
    STRCMP_EQUAL("mandaue", router.decide(callerPacket(5000), *table).server->zone.c_str());
    LONGS_EQUAL(3, router.decide(synPacket(), *table).server->id);
}

TEST(EntryRouter, ResetsOnlyNewFlowsWithoutRoute)
{
    tables.table().clear_routes();
    const auto table = tables.build();
    CHECK(router.decide(synPacket(), *table).action == EntryAction::Reset);
    CHECK(router.decide(callerPacket(5000), *table).action == EntryAction::Drop);
}

TEST(EntryRouter, DropsPacketsWithoutTable)
{
    CHECK(router.decide(synPacket(), fleet::FleetTable()).action == EntryAction::Drop);
}

TEST(EntryRouter, RemovingServerKeepsOrderOfOthers)
{
    CHECK(rc::check("the order of the remaining servers is unchanged", [](std::uint64_t flowHash) {
        TestTable tables;
        const auto allServers = tables.build();
        const auto order = rankServersForZone(flowHash, allServers->service(deskService)->servers, "mandaue");
        tables.table().mutable_servers()->DeleteSubrange(1, 1);
        const auto remainingServers = tables.build();
        std::vector<std::uint32_t> expected;
        for (const auto* server : order) {
            if (server->id != 2)
                expected.push_back(server->id);
        }
        std::vector<std::uint32_t> found;
        for (const auto* server : rankServersForZone(flowHash, remainingServers->service(deskService)->servers, "mandaue"))
            found.push_back(server->id);
        RC_ASSERT(found == expected);
    }));
}

// Guards against open flows that are dropped while the service that their route has now has no server yet.
TEST(EntryRouter, ForwardsOpenFlowAlthoughItsRoutesServiceHasNoServer)
{
    auto& service = *tables.table().add_services();
    service.set_id(9);
    service.set_name("new-desk");
    tables.table().mutable_routes(0)->mutable_targets(0)->set_service_id(service.id());
    const auto table = tables.build();
    CHECK(router.decide(callerPacket(5000), *table).action == EntryAction::Forward);
    CHECK(router.decide(synPacket(), *table).action == EntryAction::Reset);
}

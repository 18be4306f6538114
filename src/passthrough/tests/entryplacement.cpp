#include "dataplane/internal/flowcache.h"
#include "dataplane/types/flowholder.h"
#include "dataplane/types/loadnotice.h"
#include "fleet/serverrank.h"
#include "passthrough/entryrouter.h"
#include "passthrough/serverloadview.h"
#include "passthrough/tests/testtable.h"
#include "passthrough/zonerank.h"
#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>
#include <set>

using namespace clementinesill;
using namespace clementinesill::passthrough;
using dataplane::LoadLevel;
using namespace std::chrono_literals;

// Replays of load patterns on a balancer's placement, without a network. Servers 1 and 2 are in the balancer's zone, 3 is not.
// clang-format off
TEST_GROUP(EntryPlacement)
{
    ManualClock clock;
    static constexpr std::uint32_t low = 2;
    static constexpr std::uint32_t high = 1;

    TestTable tables;
    std::shared_ptr<const fleet::FleetTable> table;
    dataplane::FlowCache cache { 4096 };
    ServerLoadView view { clock };
    EntryRouter router { cache, "mandaue", &view };

    void setup() override { usePriority(low); }

    void usePriority(std::uint32_t priority)
    {
        tables.table().mutable_routes(0)->set_priority(priority);
        table = tables.build();
    }

    void notify(LoadLevel level, std::initializer_list<std::uint32_t> servers, std::uint32_t priority = low, std::chrono::milliseconds validity = 100ms)
    {
        dataplane::LoadNotice notice { .level = level, .priority = priority, .validity = validity, .servers = {} };
        notice.servers.assign(servers.begin(), servers.end());
        view.apply(notice, *table);
    }

    // Servers that 50 new flows are sent to; 0 stands for a flow that is reset.
    std::set<std::uint32_t> placements()
    {
        std::set<std::uint32_t> servers;
        for (std::uint16_t port = 1; port <= 50; ++port) {
            const auto decision = router.decide(synPacket(port), *table);
            servers.insert(decision.server ? decision.server->id : 0);
        }
        return servers;
    }

    void checkPlacements(std::set<std::uint32_t> expected) { CHECK(placements() == expected); }
};
// clang-format on

// Guards against callers of a crowded zone that wait while servers elsewhere are free, and against a spill that stays.
TEST(EntryPlacement, SpillsToOtherZoneOnlyWhileHomeHasNoRoom)
{
    checkPlacements({ 1, 2 });
    notify(LoadLevel::Busy, { 1 }, low, 50ms);
    checkPlacements({ 2 });
    notify(LoadLevel::Busy, { 1, 2 }, low, 50ms);
    checkPlacements({ 3 });
    notify(LoadLevel::Busy, { 3 }, low, 50ms);
    checkPlacements({ 1, 2 });
    clock.advance(50ms);
    checkPlacements({ 1, 2 });
    CHECK(view.counts().busy == 0);
}

// Guards against bytes of downloads between zones while servers at home are only busy.
TEST(EntryPlacement, DownloadStaysAtHomeWhileHomeIsOnlyBusy)
{
    tables.table().mutable_routes(0)->set_kind(schema::REQUEST_KIND_DOWNLOAD);
    table = tables.build();
    notify(LoadLevel::Busy, { 1, 2 });
    checkPlacements({ 1, 2 });
    notify(LoadLevel::Full, { 1, 2 });
    checkPlacements({ 3 });
}

// Guards against walks over all agents for flows that no server takes, and against rejecting a class that is still served.
TEST(EntryPlacement, RejectsOnlyPrioritiesForWhichAllServersAreFull)
{
    notify(LoadLevel::Full, { 1, 2 });
    checkPlacements({ 3 });
    notify(LoadLevel::Full, { 3 });
    checkPlacements({ 0 });
    const auto decision = router.decide(synPacket(7, 1), *table);
    CHECK(decision.action == EntryAction::Reset && decision.reason == EntryReason::ServiceFull);
    // Packets of open flows go to their holders whatever the load.
    CHECK(router.decide(callerPacket(5000, 0, 1001, 9), *table).action == EntryAction::Forward);
    usePriority(high);
    checkPlacements({ 1, 2 });
    notify(LoadLevel::Full, { 1, 2, 3 }, high);
    checkPlacements({ 0 });
    usePriority(low);
    checkPlacements({ 0 });
    clock.advance(100ms);
    checkPlacements({ 1, 2 });
}

// Guards against a reset, which says that nothing has run, for a SYN that a server may have got through this balancer or another.
TEST(EntryPlacement, ResetsOnlyRetransmissionsOfSynsThatItRejected)
{
    const auto forwardedTo = router.decide(synPacket(7), *table).server;
    notify(LoadLevel::Full, { 1, 2, 3 });
    CHECK(router.decide(synPacket(7, 1), *table).server == forwardedTo);
    CHECK(router.decide(synPacket(8, 1), *table).action == EntryAction::Forward);
    CHECK(router.decide(synPacket(9), *table).action == EntryAction::Reset);
    CHECK(router.decide(synPacket(9, 1), *table).action == EntryAction::Reset);
    clock.advance(100ms);
    CHECK(router.decide(synPacket(9), *table).action == EntryAction::Forward);
    notify(LoadLevel::Full, { 1, 2, 3 });
    CHECK(router.decide(synPacket(9, 1), *table).action == EntryAction::Forward);
}

// Guards against callers that wait for a failed server while the others are full, and against a server that recovers unnoticed.
TEST(EntryPlacement, ProbesServerWithoutAnswersWithOneSyn)
{
    router.decide(synPacket(1), *table);
    router.decide(synPacket(1, 1), *table);
    std::uint32_t failed = 1;
    while (!view.load(failed, low, clock.now()).unanswered)
        ++failed;
    const auto fillOthers = [&] { notify(LoadLevel::Full, { failed % 3 + 1, (failed + 1) % 3 + 1 }); };
    fillOthers();
    checkPlacements({ 0 });
    clock.advance(500ms);
    fillOthers();
    checkPlacements({ failed, 0 });
    checkPlacements({ 0 });
    clock.advance(250ms);
    fillOthers();
    checkPlacements({ failed });
}

// Guards against servers that count as unanswered because the link had no room for the SYNs placed there: once the others are
// full, new flows would be reset although these have room.
TEST(EntryPlacement, WithdrawnPlacementLeavesNoTrace)
{
    for (std::uint32_t copy = 0; copy < 2; ++copy) {
        const auto placed = router.decide(synPacket(1, copy), *table);
        CHECK(placed.server);
        router.withdraw(synPacket(1, copy), *table, false);
    }
    router.decide(synPacket(1, 2), *table);
    LONGS_EQUAL(0, view.counts().unanswered);
}

// Guards against a full service that affects another one.
TEST(EntryPlacement, FullServiceLeavesIdleServiceUntouched)
{
    notify(LoadLevel::Full, { 1, 2, 3 }, 0);
    tables.table().mutable_routes(0)->mutable_targets(0)->set_service_id(galleryService);
    table = tables.build();
    checkPlacements({ 4 });
}

// Guards against notices that outlive the load: a wrong validity, a server that has left, a restarted balancer.
TEST(EntryPlacement, ForgetsStaleNotices)
{
    notify(LoadLevel::Full, { 1, 2, 3, 99 }, low, 1h);
    CHECK(view.counts().full == 3);
    CHECK(view.record(99) == nullptr);
    ServerLoadView restartedView(clock);
    EntryRouter restarted(cache, "mandaue", &restartedView);
    CHECK(restarted.decide(synPacket(), *table).reason == EntryReason::FirstAccepting);
    clock.advance(99ms);
    checkPlacements({ 0 });
    clock.advance(1ms);
    checkPlacements({ 1, 2 });
    notify(LoadLevel::Busy, { 3 }, low, 0ms);
    checkPlacements({ 1, 2 });
    notify(LoadLevel::Full, { 1, 2 });
    tables.table().mutable_servers()->DeleteSubrange(0, 1);
    table = tables.build();
    notify(LoadLevel::Full, { 3 });
    CHECK(view.record(1) == nullptr);
    checkPlacements({ 0 });
}

// Guards against an older notice that prevails, and a busy notice that lets rejected classes walk over the agents again.
TEST(EntryPlacement, NewestNoticeOfLevelWins)
{
    notify(LoadLevel::Full, { 1, 2, 3 }, high);
    notify(LoadLevel::Full, { 2 }, low + 1);
    checkPlacements({ 2 });
    notify(LoadLevel::Full, { 2 }, low);
    notify(LoadLevel::Busy, { 2 });
    checkPlacements({ 0 });
    notify(LoadLevel::Full, { 3 }, low, 20ms);
    clock.advance(20ms);
    checkPlacements({ 3 });
}

// Guards against a failed VM that sends no notices, looks idle, and attracts all new flows while the other servers are busy.
TEST(EntryPlacement, ServerWithoutAnswersIsPlacedAfterBusyOnes)
{
    notify(LoadLevel::Busy, { 1, 2 });
    std::set<std::uint32_t> second;
    for (std::uint16_t port = 1; port <= 20; ++port) {
        LONGS_EQUAL(3, router.decide(synPacket(port), *table).server->id);
        second.insert(router.decide(synPacket(port, 1), *table).server->id);
        CHECK(view.load(3, low, clock.now()).unanswered);
        view.recordAnswer(3);
    }
    CHECK(second == std::set<std::uint32_t>({ 1, 2 }));
    router.decide(synPacket(21), *table);
    router.decide(synPacket(21, 1), *table);
    checkPlacements({ 1, 2 });
    router.learn({ .key = testFlow(30), .serverId = 3, .incarnation = 1 }, *table);
    checkPlacements({ 3 });
}

// Guards against three transmissions of one SYN that reach fewer than three servers.
TEST(EntryPlacement, TransmissionsOfSynGoToDifferentServers)
{
    for (std::uint16_t port = 1; port <= 20; ++port) {
        std::set<std::uint32_t> visited;
        for (std::uint32_t retransmissions = 0; retransmissions < 3; ++retransmissions) {
            visited.insert(router.decide(synPacket(port, retransmissions), *table).server->id);
            clock.advance(retransmissions ? 400ms : 200ms);
        }
        LONGS_EQUAL(3, visited.size());
        clock.advance(1s);
    }
}

// Guards against a change of placement without notices, and of the order in which a flow's holder is searched, for any number of
// servers, whatever the view contains.
TEST(EntryPlacement, OrderWithoutNoticesAndOfOpenFlowsIsByZoneAndRank)
{
    CHECK(rc::check("order by zone and rank", [](std::uint64_t seed) {
        TestTable tables;
        const auto servers = 4 + seed % 60;
        for (std::uint32_t id = 5; id <= servers; ++id) {
            auto& server = *tables.table().add_servers();
            server = tables.server(1 + (id + seed) % 3);
            server.set_id(id);
            server.set_weight(1 + (seed >> (id % 32)) % 3);
            server.set_state((seed >> (id % 40)) % 4 ? schema::SERVER_STATE_ACTIVE : schema::SERVER_STATE_SILENT);
        }
        const auto table = tables.build();
        const ManualClock clock;
        ServerLoadView view(clock);
        dataplane::FlowCache cache(64);
        EntryRouter byRank(cache, "mandaue");
        EntryRouter byLoad(cache, "mandaue", &view);
        view.apply({ .level = LoadLevel::Full, .priority = 0, .validity = 100ms, .servers = { 1, 2, 3, 5, 6, 7 } }, *table);
        const auto port = static_cast<std::uint16_t>(seed);
        const auto ranking = rankServersForZone(fleet::hash(testFlow(port), table->hashSeed()), table->service(deskService)->servers, "mandaue");
        RC_ASSERT(byLoad.decide(callerPacket(5000, 0, 1001, port), *table).server == ranking.front());
        std::vector<const fleet::ServerEntry*> accepting;
        std::copy_if(ranking.begin(), ranking.end(), std::back_inserter(accepting), [](const auto* server) { return server->accepting(); });
        for (std::uint32_t retransmissions = 0; retransmissions < 3; ++retransmissions)
            RC_ASSERT(byRank.decide(synPacket(port, retransmissions), *table).server == accepting[retransmissions % accepting.size()]);
    }));
}

#include "dataplane/internal/forwarder.h"

#include "dataplane/internal/flowcache.h"
#include "dataplane/tests/fixtures.h"
#include "dataplane/types/holder.h"
#include "dataplane/types/tcpflags.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>
#include <set>

using namespace clementinesill;
using namespace clementinesill::dataplane;
using namespace clementinesill::dataplane::fixtures;

namespace {

// One balancer, and what tests ask it.
struct Balancer {
    FlowCache cache { 1024 };
    Forwarder forwarder { cache };

    ForwardDecision forward(const PacketView& packet, const schema::Table& table) { return forwarder.forward(packet, fleet::FleetTable(table)); }
    ForwardDecision open(std::uint32_t caller, const schema::Table& table) { return forward(makePacket(caller, firstService, TcpFlags::syn), table); }
    ForwardDecision next(std::uint32_t caller, const schema::Table& table) { return forward(makePacket(caller, firstService, TcpFlags::ack), table); }
    void learn(std::uint32_t caller, std::uint32_t serverId, std::uint32_t incarnation, const schema::Table& table)
    {
        forwarder.learn({ .key = makePacket(caller, firstService, 0).key, .serverId = serverId, .incarnation = incarnation }, fleet::FleetTable(table));
    }
};

schema::Table randomTable(std::uint64_t version)
{
    auto table = makeTable(version, *rc::gen::inRange<std::uint32_t>(0, 6));
    for (const auto* name : { "mandaue", "talisay" }) {
        auto& zone = *table.add_zones();
        zone.set_name(name);
        zone.set_state(*rc::gen::arbitrary<bool>() ? schema::ZONE_STATE_IN : schema::ZONE_STATE_OUT);
    }
    for (auto& server : *table.mutable_servers()) {
        server.set_zone(*rc::gen::element<std::string>("mandaue", "talisay"));
        server.set_state(*rc::gen::element(schema::SERVER_STATE_ACTIVE, schema::SERVER_STATE_DRAINING));
        server.set_incarnation(*rc::gen::inRange<std::uint32_t>(1, 3));
        server.set_weight(*rc::gen::inRange<std::uint32_t>(1, 4));
    }
    return table;
}

PacketView randomPacket()
{
    const auto service = *rc::gen::element(firstService, secondService, udpService);
    return makePacket(*rc::gen::inRange<std::uint32_t>(0, 4), service, service == udpService ? 0 : *rc::gen::element(TcpFlags::syn, TcpFlags::ack));
}

} // namespace

// clang-format off
TEST_GROUP(Forwarder) {};
// clang-format on

TEST(Forwarder, KeepsServicesZonesAndDrainsApart)
{
    CHECK(rc::check("over random tables, packets and holders", [] {
        Balancer balancer;
        for (std::uint64_t version = 1; version < 5; ++version) {
            const fleet::FleetTable table(randomTable(version));
            for (int step = 0; step < 8; ++step) {
                const auto packet = randomPacket();
                if (*rc::gen::arbitrary<bool>())
                    balancer.forwarder.learn({ .key = packet.key, .serverId = *rc::gen::inRange<std::uint32_t>(1, 18), .incarnation = *rc::gen::inRange<std::uint32_t>(1, 3) }, table);
                // Another flow's entry under this flow's hash, as a collision leaves it.
                if (*rc::gen::arbitrary<bool>())
                    balancer.cache.store(fleet::hash(packet.key, table.hashSeed()), { .serverId = *rc::gen::inRange<std::uint32_t>(1, 18), .incarnation = 1 });
                const auto decision = balancer.forwarder.forward(packet, table);
                if (decision.dropped)
                    continue;
                const auto* server = table.server(decision.route.serverId);
                RC_ASSERT(server);
                RC_ASSERT(server->serviceId == table.service(packet.key.service, packet.key.protocol)->id);
                RC_ASSERT(decision.route.serviceId == server->serviceId);
                RC_ASSERT(decision.route.incarnation == server->incarnation);
                RC_ASSERT(decision.agent == server->agent);
                RC_ASSERT(!server->zoneOut);
                RC_ASSERT(decision.route.tableVersion == version);
                RC_ASSERT(!(decision.route.flags & Route::opensFlow) || server->accepting());
                RC_ASSERT(!packet.opensTcpFlow() || (decision.route.flags & Route::opensFlow));
            }
        }
    }));
}

TEST(Forwarder, BalancersWithTheSameTableAgree)
{
    CHECK(rc::check("two fresh balancers decide alike", [] {
        const auto table = randomTable(1);
        Balancer one;
        Balancer other;
        const auto packet = randomPacket();
        const auto decision = one.forward(packet, table);
        const auto same = other.forward(packet, table);
        RC_ASSERT(decision.dropped == same.dropped && decision.reason == same.reason && decision.route == same.route && decision.agent == same.agent);
    }));
}

// A balancer that has the older or the newer table names the same server for a flow whose server is in both, or the one
// that came; never one that holds neither the flow nor a claim to it.
TEST(Forwarder, VersionsApartDifferOnlyByTheServerThatCame)
{
    CHECK(rc::check("in both orders", [](std::uint32_t caller) {
        const auto older = makeTable(1, *rc::gen::inRange<std::uint32_t>(1, 8));
        auto newer = older;
        newer.set_version(2);
        addServer(newer, 100, firstServiceId);
        const bool oldFirst = *rc::gen::arbitrary<bool>();
        Balancer one;
        Balancer other;
        const auto opened = one.open(caller, oldFirst ? older : newer);
        const auto next = other.next(caller, oldFirst ? newer : older);
        RC_ASSERT(opened.route.serverId == next.route.serverId || (oldFirst ? next : opened).route.serverId == 100);
    }));
}

// A dead server that ranks first must not swallow the packets of flows that others took since.
TEST(Forwarder, AsksASilentServerOnlyIfThereIsNoOther)
{
    CHECK(rc::check("over random sets of silent servers", [](std::uint32_t caller) {
        auto table = makeTable(1, *rc::gen::inRange<std::uint32_t>(1, 8));
        std::size_t renewing = 0;
        for (auto& server : *table.mutable_servers()) {
            const bool silent = *rc::gen::arbitrary<bool>();
            server.set_state(silent ? schema::SERVER_STATE_SILENT : schema::SERVER_STATE_ACTIVE);
            renewing += !silent && server.service_id() == firstServiceId;
        }
        Balancer opener;
        Balancer other;
        const auto opened = opener.open(caller, table);
        const auto next = other.next(caller, table);
        RC_ASSERT(opened.dropped == !renewing);
        RC_ASSERT(!next.dropped);
        RC_ASSERT(!renewing || next.route.serverId == opened.route.serverId);
    }));
}

TEST(Forwarder, FlowSurvivesTwoChangesOfMembershipAtOnce)
{
    CHECK(rc::check("a balancer that learned the holder keeps to it", [](std::uint32_t caller) {
        auto table = makeTable(1, 4);
        Balancer balancer;
        const auto holder = balancer.open(caller, table).route.serverId;
        balancer.learn(caller, holder, 1, table);
        table.set_version(3);
        addServer(table, 100, firstServiceId);
        for (auto& server : *table.mutable_servers()) {
            if (server.id() == holder)
                server.set_state(schema::SERVER_STATE_DRAINING);
        }
        const auto next = balancer.next(caller, table);
        RC_ASSERT(next.route.serverId == holder && next.reason == ForwardReason::CacheHit);
        RC_ASSERT(balancer.open(caller, table).route.serverId != holder);
    }));
}

TEST(Forwarder, FlowOpenedPastADrainingServerIsFoundAgain)
{
    auto table = makeTable(1, 4);
    for (std::uint32_t caller = 0; caller < 64; ++caller) {
        Balancer balancer;
        table.mutable_servers(0)->set_state(schema::SERVER_STATE_DRAINING);
        const auto opened = balancer.open(caller, table).route.serverId;
        CHECK(opened != 1);
        LONGS_EQUAL(opened, balancer.next(caller, table).route.serverId);
        table.mutable_servers(0)->set_state(schema::SERVER_STATE_ACTIVE);
        LONGS_EQUAL(opened, balancer.next(caller, table).route.serverId);
    }
}

TEST(Forwarder, ForgetsADeadIncarnation)
{
    auto table = makeTable(1, 1);
    Balancer balancer;
    balancer.learn(1, 1, 1, table);
    table.mutable_servers(0)->set_incarnation(2);
    balancer.learn(1, 1, 1, table);
    const auto decision = balancer.next(1, table);
    LONGS_EQUAL(2, decision.route.incarnation);
    CHECK(decision.reason == ForwardReason::FirstInRank);
    table.mutable_servers(0)->set_incarnation(1);
    CHECK_TEXT(balancer.next(1, table).reason == ForwardReason::FirstInRank, "the entry was kept");
}

TEST(Forwarder, LateWordOfADeadIncarnationChangesNothing)
{
    auto table = makeTable(1, 1);
    table.mutable_servers(0)->set_incarnation(2);
    Balancer balancer;
    balancer.learn(1, 1, 2, table);
    balancer.learn(1, 1, 1, table);
    CHECK(balancer.next(1, table).reason == ForwardReason::CacheHit);
}

TEST(Forwarder, RepeatedSynFollowsTheHolder)
{
    const auto table = makeTable(1, 4);
    Balancer balancer;
    const auto first = balancer.open(1, table).route.serverId;
    const auto holder = first % 4 + 1;
    balancer.learn(1, holder, 1, table);
    const auto repeated = balancer.open(1, table);
    LONGS_EQUAL(holder, repeated.route.serverId);
    LONGS_EQUAL(Route::opensFlow | Route::fromCache, repeated.route.flags);
}

TEST(Forwarder, RemembersTheRankOfLargeServicesOnly)
{
    for (const std::uint32_t servers : { 31U, 32U }) {
        auto table = makeTable(1, servers);
        Balancer balancer;
        const auto first = balancer.next(1, table);
        CHECK(first.reason == ForwardReason::FirstInRank);
        CHECK(balancer.next(1, table).reason == (servers < 32 ? ForwardReason::FirstInRank : ForwardReason::CacheHit));
        const auto opened = balancer.open(2, table).route.serverId;
        CHECK(balancer.next(2, table).reason == (servers < 32 ? ForwardReason::FirstInRank : ForwardReason::CacheHit));
        LONGS_EQUAL(opened, balancer.next(2, table).route.serverId);
        balancer.learn(1, first.route.serverId % servers + 1, 1, table);
        LONGS_EQUAL(first.route.serverId % servers + 1, balancer.next(1, table).route.serverId);
    }
}

// A caller who knows the hash but not the seed cannot aim flows at one server: those that meet under one seed part
// under another.
TEST(Forwarder, SeedPartsFlowsThatMet)
{
    auto table = makeTable(1, 8);
    Balancer balancer;
    const auto place = [&](std::uint32_t caller) { return balancer.next(caller, table).route.serverId; };
    std::vector<std::uint32_t> met;
    for (std::uint32_t caller = 0; met.size() < 100; ++caller) {
        if (place(caller) == 1)
            met.push_back(caller);
    }
    table.set_hash_seed(8);
    std::set<std::uint32_t> places;
    for (const auto caller : met)
        places.insert(place(caller));
    LONGS_EQUAL(8, places.size());
}

TEST(Forwarder, UdpFlowIsOpenedOnceAndKept)
{
    auto table = makeTable(1, 2);
    const auto packet = makePacket(1, udpService, 0);
    Balancer balancer;
    const auto opened = balancer.forward(packet, table);
    CHECK(opened.reason == ForwardReason::FirstAccepting);
    LONGS_EQUAL(Route::opensFlow, opened.route.flags);
    for (auto& server : *table.mutable_servers()) {
        if (server.id() == opened.route.serverId)
            server.set_state(schema::SERVER_STATE_DRAINING);
    }
    const auto next = balancer.forward(packet, table);
    LONGS_EQUAL(opened.route.serverId, next.route.serverId);
    LONGS_EQUAL(Route::fromCache, next.route.flags);
    CHECK(Balancer().forward(packet, table).route.serverId != opened.route.serverId);
}

TEST(Forwarder, DropsWithTheReason)
{
    auto table = makeTable(1, 1);
    Balancer balancer;
    const auto reason = [&](const Endpoint& service) { return balancer.forward(makePacket(1, service, TcpFlags::syn), table).reason; };
    CHECK(reason({ .address = firstService.address, .port = 81 }) == ForwardReason::NoService);
    table.mutable_servers(0)->set_state(schema::SERVER_STATE_DRAINING);
    CHECK(reason(firstService) == ForwardReason::NoAcceptingServer);
    table.mutable_servers()->Clear();
    CHECK(reason(firstService) == ForwardReason::NoServer);
}

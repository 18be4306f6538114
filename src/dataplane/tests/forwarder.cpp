#include "dataplane/internal/forwarder.h"

#include "dataplane/internal/flowcache.h"
#include "dataplane/tests/fixtures.h"
#include "dataplane/types/flowholder.h"
#include "dataplane/types/tcpflags.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>
#include <set>

using namespace clementinesill;
using namespace clementinesill::dataplane;
using namespace clementinesill::dataplane::fixtures;

namespace {

// The forwarder of one balancer with its flow cache.
struct Balancer {
    FlowCache cache { 1024 };
    Forwarder forwarder { cache };

    ForwardDecision decide(const PacketView& packet, const schema::Table& table) { return forwarder.decide(packet, fleet::FleetTable(table)); }
    ForwardDecision decideSyn(std::uint32_t caller, const schema::Table& table) { return decide(makePacket(caller, firstService, TcpFlags::syn), table); }
    ForwardDecision decideAck(std::uint32_t caller, const schema::Table& table) { return decide(makePacket(caller, firstService, TcpFlags::ack), table); }
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

TEST(Forwarder, RespectsServiceZoneAndServerState)
{
    CHECK(rc::check("random tables, packets and holders", [] {
        Balancer balancer;
        for (std::uint64_t version = 1; version < 5; ++version) {
            const fleet::FleetTable table(randomTable(version));
            for (int step = 0; step < 8; ++step) {
                const auto packet = randomPacket();
                if (*rc::gen::arbitrary<bool>())
                    balancer.forwarder.learn({ .key = packet.key, .serverId = *rc::gen::inRange<std::uint32_t>(1, 18), .incarnation = *rc::gen::inRange<std::uint32_t>(1, 3) }, table);
                // An entry of another flow with the same hash.
                if (*rc::gen::arbitrary<bool>())
                    balancer.cache.store(fleet::hash(packet.key, table.hashSeed()), { .serverId = *rc::gen::inRange<std::uint32_t>(1, 18), .incarnation = 1 });
                const auto decision = balancer.forwarder.decide(packet, table);
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

TEST(Forwarder, DecidesIdenticallyWithSameTable)
{
    CHECK(rc::check("two new balancers", [] {
        const auto table = randomTable(1);
        Balancer first;
        Balancer second;
        const auto packet = randomPacket();
        const auto decision = first.decide(packet, table);
        const auto secondDecision = second.decide(packet, table);
        RC_ASSERT(decision.dropped == secondDecision.dropped && decision.reason == secondDecision.reason && decision.route == secondDecision.route && decision.agent == secondDecision.agent);
    }));
}

// One balancer opens a flow and another, which has an older or newer table, forwards the next packet. Both must choose the
// same server, unless the one with the newer table chooses the server that was added.
TEST(Forwarder, TableVersionsDisagreeOnlyOnAddedServer)
{
    CHECK(rc::check("older or newer table first", [](std::uint32_t caller) {
        const auto older = makeTable(1, *rc::gen::inRange<std::uint32_t>(1, 8));
        auto newer = older;
        newer.set_version(2);
        addServer(newer, 100, firstServiceId);
        const bool oldFirst = *rc::gen::arbitrary<bool>();
        Balancer first;
        Balancer second;
        const auto opened = first.decideSyn(caller, oldFirst ? older : newer);
        const auto next = second.decideAck(caller, oldFirst ? newer : older);
        RC_ASSERT(opened.route.serverId == next.route.serverId || (oldFirst ? next : opened).route.serverId == 100);
    }));
}

// If a dead server is first in rank order, packets must not be lost there when another server has opened the flow since.
TEST(Forwarder, UsesSilentServerOnlyIfThereIsNoOther)
{
    CHECK(rc::check("random sets of silent servers", [](std::uint32_t caller) {
        auto table = makeTable(1, *rc::gen::inRange<std::uint32_t>(1, 8));
        std::size_t liveServers = 0;
        for (auto& server : *table.mutable_servers()) {
            const bool silent = *rc::gen::arbitrary<bool>();
            server.set_state(silent ? schema::SERVER_STATE_SILENT : schema::SERVER_STATE_ACTIVE);
            liveServers += !silent && server.service_id() == firstServiceId;
        }
        Balancer first;
        Balancer second;
        const auto opened = first.decideSyn(caller, table);
        const auto next = second.decideAck(caller, table);
        RC_ASSERT(opened.dropped == !liveServers);
        RC_ASSERT(!next.dropped);
        RC_ASSERT(!liveServers || next.route.serverId == opened.route.serverId);
    }));
}

TEST(Forwarder, KeepsFlowWhenServerIsAddedAndHolderDrains)
{
    CHECK(rc::check("a balancer that has learned the holder", [](std::uint32_t caller) {
        auto table = makeTable(1, 4);
        Balancer balancer;
        const auto holder = balancer.decideSyn(caller, table).route.serverId;
        balancer.learn(caller, holder, 1, table);
        table.set_version(3);
        addServer(table, 100, firstServiceId);
        for (auto& server : *table.mutable_servers()) {
            if (server.id() == holder)
                server.set_state(schema::SERVER_STATE_DRAINING);
        }
        const auto next = balancer.decideAck(caller, table);
        RC_ASSERT(next.route.serverId == holder && next.reason == ForwardReason::CacheHit);
        RC_ASSERT(balancer.decideSyn(caller, table).route.serverId != holder);
    }));
}

TEST(Forwarder, FindsFlowOpenedWhileAnotherServerDrained)
{
    auto table = makeTable(1, 4);
    for (std::uint32_t caller = 0; caller < 64; ++caller) {
        Balancer balancer;
        table.mutable_servers(0)->set_state(schema::SERVER_STATE_DRAINING);
        const auto opened = balancer.decideSyn(caller, table).route.serverId;
        CHECK(opened != 1);
        LONGS_EQUAL(opened, balancer.decideAck(caller, table).route.serverId);
        table.mutable_servers(0)->set_state(schema::SERVER_STATE_ACTIVE);
        LONGS_EQUAL(opened, balancer.decideAck(caller, table).route.serverId);
    }
}

TEST(Forwarder, ErasesEntryOfOldIncarnation)
{
    auto table = makeTable(1, 1);
    Balancer balancer;
    balancer.learn(1, 1, 1, table);
    table.mutable_servers(0)->set_incarnation(2);
    balancer.learn(1, 1, 1, table);
    const auto decision = balancer.decideAck(1, table);
    LONGS_EQUAL(2, decision.route.incarnation);
    CHECK(decision.reason == ForwardReason::FirstInRank);
    table.mutable_servers(0)->set_incarnation(1);
    CHECK_TEXT(balancer.decideAck(1, table).reason == ForwardReason::FirstInRank, "the entry was not erased");
}

TEST(Forwarder, IgnoresDelayedNotificationOfOldIncarnation)
{
    auto table = makeTable(1, 1);
    table.mutable_servers(0)->set_incarnation(2);
    Balancer balancer;
    balancer.learn(1, 1, 2, table);
    balancer.learn(1, 1, 1, table);
    CHECK(balancer.decideAck(1, table).reason == ForwardReason::CacheHit);
}

TEST(Forwarder, SendsRetransmittedSynToHolder)
{
    const auto table = makeTable(1, 4);
    Balancer balancer;
    const auto first = balancer.decideSyn(1, table).route.serverId;
    const auto holder = first % 4 + 1;
    balancer.learn(1, holder, 1, table);
    const auto retransmitted = balancer.decideSyn(1, table);
    LONGS_EQUAL(holder, retransmitted.route.serverId);
    LONGS_EQUAL(Route::opensFlow | Route::fromCache, retransmitted.route.flags);
}

TEST(Forwarder, CachesRankResultOfLargeServicesOnly)
{
    for (const std::uint32_t servers : { 31U, 32U }) {
        auto table = makeTable(1, servers);
        Balancer balancer;
        const auto first = balancer.decideAck(1, table);
        CHECK(first.reason == ForwardReason::FirstInRank);
        CHECK(balancer.decideAck(1, table).reason == (servers < 32 ? ForwardReason::FirstInRank : ForwardReason::CacheHit));
        const auto opened = balancer.decideSyn(2, table).route.serverId;
        CHECK(balancer.decideAck(2, table).reason == (servers < 32 ? ForwardReason::FirstInRank : ForwardReason::CacheHit));
        LONGS_EQUAL(opened, balancer.decideAck(2, table).route.serverId);
        balancer.learn(1, first.route.serverId % servers + 1, 1, table);
        LONGS_EQUAL(first.route.serverId % servers + 1, balancer.decideAck(1, table).route.serverId);
    }
}

// A caller that knows the hash function but not the seed must not be able to direct its flows to one server: flows that
// share a server with one seed are spread over all servers with another.
TEST(Forwarder, HashSeedSpreadsCollidingFlows)
{
    auto table = makeTable(1, 8);
    Balancer balancer;
    const auto serverFor = [&](std::uint32_t caller) { return balancer.decideAck(caller, table).route.serverId; };
    std::vector<std::uint32_t> colliding;
    for (std::uint32_t caller = 0; colliding.size() < 100; ++caller) {
        if (serverFor(caller) == 1)
            colliding.push_back(caller);
    }
    table.set_hash_seed(8);
    std::set<std::uint32_t> serverIds;
    for (const auto caller : colliding)
        serverIds.insert(serverFor(caller));
    LONGS_EQUAL(8, serverIds.size());
}

TEST(Forwarder, KeepsUdpFlowOnDrainingServer)
{
    auto table = makeTable(1, 2);
    const auto packet = makePacket(1, udpService, 0);
    Balancer balancer;
    const auto opened = balancer.decide(packet, table);
    CHECK(opened.reason == ForwardReason::FirstAccepting);
    LONGS_EQUAL(Route::opensFlow, opened.route.flags);
    for (auto& server : *table.mutable_servers()) {
        if (server.id() == opened.route.serverId)
            server.set_state(schema::SERVER_STATE_DRAINING);
    }
    const auto next = balancer.decide(packet, table);
    LONGS_EQUAL(opened.route.serverId, next.route.serverId);
    LONGS_EQUAL(Route::fromCache, next.route.flags);
    CHECK(Balancer().decide(packet, table).route.serverId != opened.route.serverId);
}

TEST(Forwarder, ReportsDropReason)
{
    auto table = makeTable(1, 1);
    Balancer balancer;
    const auto reason = [&](const Endpoint& service) { return balancer.decide(makePacket(1, service, TcpFlags::syn), table).reason; };
    CHECK(reason({ .address = firstService.address, .port = 81 }) == ForwardReason::NoService);
    table.mutable_servers(0)->set_state(schema::SERVER_STATE_DRAINING);
    CHECK(reason(firstService) == ForwardReason::NoAcceptingServer);
    table.mutable_servers()->Clear();
    CHECK(reason(firstService) == ForwardReason::NoServer);
}

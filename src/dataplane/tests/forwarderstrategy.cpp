#include "dataplane/forwarderstrategy.h"

#include "dataplane/iforwarder.h"
#include "dataplane/internal/flowcache.h"
#include "dataplane/tests/fixtures.h"
#include "dataplane/types/flowholder.h"
#include "dataplane/types/tcpflags.h"
#include "foundation/error.h"

#include <CppUTest/TestHarness.h>
#include <set>

using namespace clementinesill;
using namespace clementinesill::dataplane;
using namespace clementinesill::dataplane::fixtures;

// clang-format off
TEST_GROUP(ForwarderStrategy)
{
    FlowCache cache { 64 };
    schema::Table records = makeTable(1, 4);
};
// clang-format on

TEST(ForwarderStrategy, OnlyRendezvousUsesFlowCache)
{
    const fleet::FleetTable table(records);
    const auto packet = makePacket(1, firstService, TcpFlags::ack);
    const auto reason = [&](std::string_view strategy) {
        const auto forwarder = makeForwarder(strategy, cache);
        forwarder->learn({ .key = packet.key, .serverId = 2, .incarnation = 1 }, table);
        return forwarder->decide(packet, table).reason;
    };
    CHECK(reason("") == ForwardReason::CacheHit);
    CHECK(reason("rendezvous") == ForwardReason::CacheHit);
    CHECK(reason("rank-only") == ForwardReason::FirstInRank);
    CHECK(reason("round-robin") == ForwardReason::RoundRobin);
}

TEST(ForwarderStrategy, RoundRobinCyclesThroughAcceptingServers)
{
    records.mutable_servers(2)->set_state(schema::SERVER_STATE_DRAINING);
    const fleet::FleetTable table(records);
    const auto forwarder = makeForwarder("round-robin", cache);
    std::multiset<std::uint32_t> serverIds;
    for (int count = 0; count < 8; ++count)
        serverIds.insert(forwarder->decide(makePacket(1, firstService, TcpFlags::ack), table).route.serverId);
    CHECK((serverIds == std::multiset<std::uint32_t> { 1, 1, 2, 2, 4, 4, 4, 4 }));
}

TEST(ForwarderStrategy, RejectsUnknownStrategy)
{
    try {
        makeForwarder("fastest", cache);
        FAIL("unknown strategy was accepted");
    } catch (const Error& error) {
        CHECK(error.kind() == ErrorKind::InvalidSettings);
        CHECK(error.remedy().find("round-robin") != std::string::npos);
    }
}

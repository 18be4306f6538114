#include "passthrough/flowtracker.h"

#include "passthrough/serverfailures.h"
#include "passthrough/tests/packets.h"
#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::passthrough;

// clang-format off
TEST_GROUP(FlowTracker)
{
    ManualClock clock;
    ServerLoad load;
    FlowTracker flows { load, clock };

    void openFlow()
    {
        flows.open(synPacket());
        flows.recordServerPacket(synAckPacket(5000));
        flows.recordCallerPacket(callerPacket(5000));
    }
};
// clang-format on

TEST(FlowTracker, RequestIsOutstandingUntilResponseStarts)
{
    openFlow();
    LONGS_EQUAL(1, load.outstanding());
    flows.recordCallerPacket(callerPacket(5000, 300));
    LONGS_EQUAL(1, load.outstanding());
    flows.recordServerPacket(serverPacket(5001, 1200));
    LONGS_EQUAL(0, load.outstanding());
    // More packets of the same response, and acknowledgements, are not counted as requests.
    flows.recordServerPacket(serverPacket(6201, 1200));
    flows.recordCallerPacket(callerPacket(7400, 0, 1301));
    LONGS_EQUAL(0, load.outstanding());
    // A retransmitted request counts once.
    flows.recordCallerPacket(callerPacket(7400, 200, 1301));
    flows.recordCallerPacket(callerPacket(7400, 200, 1301));
    LONGS_EQUAL(1, load.outstanding());
    flows.recordServerPacket(serverPacket(7401, 1));
    LONGS_EQUAL(0, load.outstanding());
}

// Guards against a late copy of a response that counts as the response to the next request on the flow: the server would seem to
// have a free slot while it runs that request.
TEST(FlowTracker, LateCopyOfResponseDoesNotEndNextRequest)
{
    openFlow();
    flows.recordCallerPacket(callerPacket(5000, 300));
    flows.recordServerPacket(serverPacket(5001, 1200));
    flows.recordServerPacket(serverPacket(6201, 100));
    LONGS_EQUAL(0, load.outstanding());
    flows.recordCallerPacket(callerPacket(6300, 200, 1301));
    flows.recordServerPacket(serverPacket(5001, 1200));
    flows.recordServerPacket(serverPacket(6201, 100));
    LONGS_EQUAL(1, load.outstanding());
    flows.recordServerPacket(serverPacket(6301, 1));
    LONGS_EQUAL(0, load.outstanding());
}

// Guards against servers that appear to fail because callers give up: in a burst many do, and every SYN would then search for
// another server.
TEST(FlowTracker, CallerThatClosesEarlyIsNoServerFailure)
{
    ServerFailures failures(clock);
    FlowTracker tracker(load, clock, { .failures = &failures });
    for (std::uint16_t port = 1; port <= 32; ++port) {
        tracker.open(synPacket(port));
        tracker.recordServerPacket(synAckPacket(5000, port));
        tracker.recordCallerPacket(callerPacket(5000, 300, 1001, port));
        auto fin = callerPacket(5000, 0, 1301, port);
        fin.fin = true;
        tracker.recordCallerPacket(fin);
    }
    CHECK_FALSE(failures.failing());
}

// Guards against a response that is never counted because its last packet, with the FIN, arrives first: servers may send the
// packets of a response in any order.
TEST(FlowTracker, ReorderedResponseEndsRequest)
{
    openFlow();
    flows.recordCallerPacket(callerPacket(5000, 300));
    auto fin = serverPacket(7401, 0);
    fin.fin = true;
    flows.recordServerPacket(fin);
    LONGS_EQUAL(1, load.outstanding());
    flows.recordServerPacket(serverPacket(6201, 1200));
    LONGS_EQUAL(0, load.outstanding());
}

// Guards against a response that is never counted because the first packet that the agent saw from the server was no SYN-ACK.
TEST(FlowTracker, ResponseCountsWithoutSynAck)
{
    flows.open(synPacket());
    flows.recordServerPacket(serverPacket(3'000'000'000, 10));
    LONGS_EQUAL(0, load.outstanding());
}

// Guards against a flow that is lost because the server sent a late packet of an earlier flow with the same ports.
TEST(FlowTracker, LatePacketOfEarlierFlowDoesNotHideSynAck)
{
    flows.open(synPacket());
    flows.recordServerPacket(serverPacket(3'000'000'000, 10));
    flows.recordServerPacket(synAckPacket(5000));
    CHECK(flows.matches(*flows.find(testFlow()), callerPacket(5000)));
}

TEST(FlowTracker, EndedFlowReleasesOutstandingRequest)
{
    openFlow();
    auto reset = callerPacket(5000);
    reset.rst = true;
    flows.recordCallerPacket(reset);
    LONGS_EQUAL(0, load.outstanding());
    flows.open(synPacket(2));
    flows.erase(testFlow(2));
    LONGS_EQUAL(0, load.outstanding());
    flows.open(synPacket(3));
    flows.clear();
    LONGS_EQUAL(0, load.outstanding());
    LONGS_EQUAL(0, flows.size());
}

TEST(FlowTracker, ExpiresFlowWithIncompleteHandshake)
{
    flows.open(synPacket());
    clock.advance(std::chrono::milliseconds(2400));
    flows.expire();
    LONGS_EQUAL(1, flows.size());
    clock.advance(std::chrono::milliseconds(200));
    flows.expire();
    LONGS_EQUAL(0, flows.size());
    LONGS_EQUAL(0, load.outstanding());
}

TEST(FlowTracker, ExpiresClosedFlowSoonerThanOpenFlow)
{
    openFlow();
    clock.advance(std::chrono::seconds(59));
    flows.expire();
    LONGS_EQUAL(1, flows.size());
    auto callerFin = callerPacket(5000);
    callerFin.fin = true;
    flows.recordCallerPacket(callerFin);
    auto serverFin = serverPacket(5001, 0);
    serverFin.fin = true;
    flows.recordServerPacket(serverFin);
    clock.advance(std::chrono::seconds(9));
    flows.expire();
    LONGS_EQUAL(0, flows.size());
}

TEST(FlowTracker, RejectsPacketsOfEarlierFlowWithSamePorts)
{
    openFlow();
    const auto& flow = *flows.find(testFlow());
    CHECK(flows.matches(flow, callerPacket(5000, 100)));
    CHECK_FALSE(flows.matches(flow, callerPacket(5000, 100, 800'000'000)));
    CHECK_FALSE(flows.matches(flow, callerPacket(900'000'000, 100)));
}

TEST(FlowTracker, TracksFlowOlderThanAgentFromServerPackets)
{
    flows.recordServerPacket(serverPacket(70'000, 500));
    const auto* flow = flows.find(testFlow());
    CHECK(flow != nullptr);
    CHECK(flows.matches(*flow, callerPacket(70'499)));
}

#include "passthrough/heldflows.h"

#include "passthrough/tests/packets.h"
#include "testing/manualclock.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::passthrough;

// clang-format off
TEST_GROUP(HeldFlows)
{
    ManualClock clock;
    ServerLoad load;
    HeldFlows flows { load, clock };

    void open()
    {
        flows.open(opening());
        flows.noteServer(openingAnswer(5000));
        flows.noteCaller(fromCaller(5000));
    }
};
// clang-format on

TEST(HeldFlows, WorkLastsFromTheRequestToTheStartOfItsAnswer)
{
    open();
    LONGS_EQUAL(1, load.outstanding());
    flows.noteCaller(fromCaller(5000, 300));
    LONGS_EQUAL(1, load.outstanding());
    flows.noteServer(fromServer(5001, 1200));
    LONGS_EQUAL(0, load.outstanding());
    // More of the same answer, and acknowledgements, are no work.
    flows.noteServer(fromServer(6201, 1200));
    flows.noteCaller(fromCaller(7400, 0, 1301));
    LONGS_EQUAL(0, load.outstanding());
    // A request that is sent again counts once.
    flows.noteCaller(fromCaller(7400, 200, 1301));
    flows.noteCaller(fromCaller(7400, 200, 1301));
    LONGS_EQUAL(1, load.outstanding());
    flows.noteServer(fromServer(7401, 1));
    LONGS_EQUAL(0, load.outstanding());
}

TEST(HeldFlows, AFlowThatEndsTakesItsWorkWithIt)
{
    open();
    auto reset = fromCaller(5000);
    reset.rst = true;
    flows.noteCaller(reset);
    LONGS_EQUAL(0, load.outstanding());
    flows.open(opening(2));
    flows.erase(testFlow(2));
    LONGS_EQUAL(0, load.outstanding());
    flows.open(opening(3));
    flows.clear();
    LONGS_EQUAL(0, load.outstanding());
    LONGS_EQUAL(0, flows.size());
}

TEST(HeldFlows, AFlowThatIsNeverCompletedIsForgottenSoon)
{
    flows.open(opening());
    clock.advance(std::chrono::milliseconds(2400));
    flows.expire();
    LONGS_EQUAL(1, flows.size());
    clock.advance(std::chrono::milliseconds(200));
    flows.expire();
    LONGS_EQUAL(0, flows.size());
    LONGS_EQUAL(0, load.outstanding());
}

TEST(HeldFlows, AnOpenFlowIsKeptForItsLifeAndAClosedOneForItsLastPackets)
{
    open();
    clock.advance(std::chrono::seconds(59));
    flows.expire();
    LONGS_EQUAL(1, flows.size());
    auto end = fromCaller(5000);
    end.fin = true;
    flows.noteCaller(end);
    auto answer = fromServer(5001, 0);
    answer.fin = true;
    flows.noteServer(answer);
    clock.advance(std::chrono::seconds(9));
    flows.expire();
    LONGS_EQUAL(0, flows.size());
}

TEST(HeldFlows, PacketsOfAnEarlierFlowOfTheSamePortsAreNotTaken)
{
    open();
    const auto& flow = *flows.find(testFlow());
    CHECK(flows.owns(flow, fromCaller(5000, 100)));
    CHECK_FALSE(flows.owns(flow, fromCaller(5000, 100, 800'000'000)));
    CHECK_FALSE(flows.owns(flow, fromCaller(900'000'000, 100)));
}

TEST(HeldFlows, AFlowOlderThanTheAgentIsTakenOnFromItsServersPackets)
{
    flows.noteServer(fromServer(70'000, 500));
    const auto* flow = flows.find(testFlow());
    CHECK(flow != nullptr);
    CHECK(flows.owns(*flow, fromCaller(70'499)));
}

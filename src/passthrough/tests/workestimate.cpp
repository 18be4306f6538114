#include "passthrough/workestimate.h"

#include "passthrough/tests/agentfixture.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::passthrough;

using std::chrono::milliseconds;

// clang-format off
TEST_GROUP(WorkEstimate)
{
    WorkEstimate estimate;
};
// clang-format on

// Without a reserve, each slot stays free for the handshake of its next request.
TEST(WorkEstimate, ReserveCoversHandshake)
{
    for (int sample = 0; sample < 200; ++sample) {
        estimate.recordHandshake(milliseconds(9));
        estimate.recordWork(testService, milliseconds(4));
    }
    const auto reserve = estimate.reserve(4);
    CHECK(reserve >= 8 && reserve <= 10);
    for (int sample = 0; sample < 200; ++sample)
        estimate.recordWork(testService, milliseconds(50));
    LONGS_EQUAL(1, estimate.reserve(4));
}

// The handshakes of a congested link must not fill the server's queue.
TEST(WorkEstimate, ReserveIsLimited)
{
    for (int sample = 0; sample < 200; ++sample)
        estimate.recordHandshake(milliseconds(900));
    CHECK(estimate.reserve(4) <= 12);
}

// The time in the server's queue, and the handshake, must not count as work.
TEST(WorkEstimate, FlowTrackerMeasuresTimeInSlot)
{
    AgentFixture agent(1);
    constexpr std::uint16_t requests = 200;
    for (std::uint16_t port = 1; port <= requests; ++port) {
        agent.flows.open(synPacket(port));
        agent.flows.recordServerPacket(synAckPacket(5000, port));
        agent.clock.advance(milliseconds(8));
        agent.flows.recordCallerPacket(callerPacket(5000, 100, 1001, port));
    }
    // Two slots: two responses each 50 ms.
    for (std::uint16_t port = 1; port <= requests; port += 2) {
        agent.clock.advance(milliseconds(50));
        agent.flows.recordServerPacket(serverPacket(5001, 100, port));
        agent.flows.recordServerPacket(serverPacket(5001, 100, port + 1));
    }
    const auto work = agent.load.workEstimate().work(testService);
    CHECK(work > milliseconds(45) && work < milliseconds(60));
    const auto handshake = agent.load.workEstimate().handshake();
    CHECK(handshake > milliseconds(7) && handshake < milliseconds(9));
}

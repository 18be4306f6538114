#pragma once

#include "passthrough/tests/agentfixture.h"
#include "passthrough/types/releasedopening.h"
#include "passthrough/waitingopenings.h"

#include <CppUTest/TestHarness.h>
#include <vector>

#define CHECK_DECISION(expectedAction, expectedReason, decision)               \
    do {                                                                       \
        const auto actual = (decision);                                        \
        STRCMP_EQUAL(name(expectedAction).data(), name(actual.action).data()); \
        STRCMP_EQUAL(name(expectedReason).data(), name(actual.reason).data()); \
    } while (false)

namespace clementinesill::passthrough {

// An agent whose SYNs wait, at the end of a search for a free slot.
struct WaitingAgent : AgentFixture {
    WaitingAgent()
        : AgentFixture(1)
    {
        auto& route = *tables.table().mutable_routes(0);
        route.set_target_latency_ms(300);
        route.set_priority(2);
        table = tables.build();
    }

    Search lastSearch() const
    {
        auto result = search();
        result.visited = { 2, 3 };
        return result;
    }

    RelayDecision decideLast(const FlowPacket& packet) { return waitingRouter.decide(lastSearch(), packet, view()); }

    // Occupies the slots and the reserve with flows whose requests have arrived.
    void fill()
    {
        std::uint16_t port = 100;
        while (load.hasRoom()) {
            flows.open(synPacket(++port));
            flows.recordServerPacket(synAckPacket(5000, port));
            flows.recordCallerPacket(callerPacket(5000, 0, 1001, port));
        }
    }

    void finishOne(std::uint16_t port = 101) { flows.recordServerPacket(serverPacket(5001, 100, port)); }

    std::vector<ReleasedOpening> release() { return waitingRouter.releaseWaiting(view()); }

    // Fails the test unless exactly one SYN is released with this decision.
    void checkReleasesOne(RelayAction action, RelayReason reason)
    {
        const auto released = release();
        LONGS_EQUAL(1, released.size());
        CHECK_DECISION(action, reason, released[0].decision);
        CHECK(waiting.empty());
    }

    // Fails the test unless one SYN with a port below the given one is reset to make room.
    void checkDisplacesOneOf(std::uint16_t portLimit)
    {
        const auto released = release();
        LONGS_EQUAL(1, released.size());
        CHECK_DECISION(RelayAction::Reset, RelayReason::Displaced, released[0].decision);
        CHECK(released[0].opening.packet.key.caller.port < portLimit);
    }

    // Port of the flow whose request ended last.
    std::uint16_t finished = 100;
    WaitingOpenings waiting { { .maximumLength = 8 }, clock };
    RelayRouter waitingRouter = makeRouter();

private:
    RelayRouter makeRouter()
    {
        RelayRouter result({ .zone = "mandaue", .flows = flows, .server = server, .load = load, .coldStartLimit = coldStartLimit, .misses = misses, .clock = clock, .waiting = &waiting, .failures = &failures });
        result.setServer(1, deskService);
        return result;
    }
};

} // namespace clementinesill::passthrough

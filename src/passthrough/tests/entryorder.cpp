#include "passthrough/entryorder.h"

#include "passthrough/tests/packets.h"
#include "passthrough/types/entrypacket.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::passthrough;

// clang-format off
TEST_GROUP(EntryOrder)
{
    std::vector<EntryPacket> packets;

    void add(const FlowPacket& packet, std::uint32_t priority) { packets.push_back({ .packet = packet, .priority = priority }); }
};
// clang-format on

TEST(EntryOrder, HandlesOpenFlowsFirstAndRetransmissionsLast)
{
    add(synPacket(1, 1), 0);
    add(synPacket(2), 2);
    add(synPacket(3), 1);
    add(callerPacket(1, 0, 1001, 4), 2);
    add(synPacket(5), 1);
    add(callerPacket(1, 0, 1001, 6), 1);
    LONGS_EQUAL(6, orderEntryPackets(packets));
    std::vector<std::uint16_t> ports;
    for (const auto& entry : packets)
        ports.push_back(entry.packet.key.caller.port);
    CHECK(ports == std::vector<std::uint16_t>({ 4, 6, 3, 5, 2, 1 }));
}

// Guards against packets of open flows that wait behind a burst of SYNs: the bound counts openings only, and the
// retransmissions and the lowest priority are beyond it.
TEST(EntryOrder, BoundExcludesRetransmissionsThenLowestPriority)
{
    for (std::uint16_t port = 0; port < maximumOpeningsPerWakeup; ++port) {
        add(synPacket(port, 1), 0);
        add(synPacket(port), 2);
        add(callerPacket(1), 2);
    }
    add(synPacket(1000), 1);
    const auto handled = orderEntryPackets(packets);
    LONGS_EQUAL(2 * maximumOpeningsPerWakeup, handled);
    LONGS_EQUAL(1000, packets[maximumOpeningsPerWakeup].packet.key.caller.port);
    for (std::size_t index = handled; index < packets.size(); ++index)
        CHECK(packets[index].packet.synRetransmissions() == (index == handled ? 0 : 1));
}

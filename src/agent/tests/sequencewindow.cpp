#include "agent/internal/sequencewindow.h"

#include "agent/types/flowentry.h"
#include "dataplane/types/packetview.h"

#include <CppUTest/TestHarness.h>

using namespace clementinesill;
using namespace clementinesill::agent;

namespace {

constexpr std::uint32_t callerNext = 1'000'000;
constexpr std::uint32_t ownNext = 5'000'000;
// The TCP stack's receive window, and its maximum of unacknowledged data.
constexpr std::uint32_t stackWindowBytes = 65'535;

dataplane::PacketView packetAt(std::uint32_t sequence, std::uint32_t acknowledgement)
{
    return { .tcpFlags = dataplane::TcpFlags::ack, .sequence = sequence, .acknowledgement = acknowledgement };
}

} // namespace

TEST_GROUP(SequenceWindow)
{
    FlowEntry entry { .state = FlowState::Closing, .callerNext = callerNext, .ownNext = ownNext };
};

TEST(SequenceWindow, AcceptsSequencesWithinStackWindow)
{
    CHECK(belongsTo(entry, packetAt(callerNext + stackWindowBytes, ownNext - stackWindowBytes)));
    CHECK(belongsTo(entry, packetAt(callerNext - stackWindowBytes, ownNext)));
}

// TCP stacks that increment their initial sequence numbers come close to those of the closed flow when a port is reused.
TEST(SequenceWindow, RejectsLaterFlowOfSamePort)
{
    CHECK_FALSE(belongsTo(entry, packetAt(callerNext + 800'000, ownNext + 800'000)));
    CHECK_FALSE(belongsTo(entry, packetAt(callerNext, ownNext + 800'000)));
}

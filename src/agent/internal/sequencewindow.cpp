#include "agent/internal/sequencewindow.h"

#include "agent/types/flowentry.h"
#include "dataplane/types/packetview.h"

namespace clementinesill::agent {

namespace {

using dataplane::TcpFlags;

bool acknowledges(const FlowEntry& entry, const dataplane::PacketView& packet)
{
    return !(packet.tcpFlags & TcpFlags::ack) || areSequencesNear(packet.acknowledgement, entry.ownNext);
}

bool matchesHandshake(const FlowEntry& entry, const dataplane::PacketView& packet)
{
    if (packet.tcpFlags & TcpFlags::rst)
        return packet.sequence == entry.callerSequence + 1;
    const bool acknowledged = (packet.tcpFlags & TcpFlags::ack) && packet.acknowledgement == entry.ownSequence + 1;
    return entry.synAckSent && acknowledged && areSequencesNear(packet.sequence, entry.callerNext);
}

void advance(std::uint32_t& next, std::uint32_t end)
{
    if (sequenceDistance(next, end) > 0)
        next = end;
}

} // namespace

std::uint32_t sequenceLength(const dataplane::PacketView& packet)
{
    std::uint32_t length = packet.payloadBytes;
    if (packet.tcpFlags & TcpFlags::syn)
        ++length;
    if (packet.tcpFlags & TcpFlags::fin)
        ++length;
    return length;
}

bool belongsTo(const FlowEntry& entry, const dataplane::PacketView& packet)
{
    // A retransmitted SYN may have opened the flow at two agents. The ACK belongs to the one whose SYN-ACK it acknowledges.
    if (entry.state == FlowState::HalfOpen)
        return matchesHandshake(entry, packet);
    return areSequencesNear(packet.sequence, entry.callerNext) && acknowledges(entry, packet);
}

void recordCallerPacket(FlowEntry& entry, const dataplane::PacketView& packet)
{
    advance(entry.callerNext, packet.sequence + sequenceLength(packet));
}

void recordOwnPacket(FlowEntry& entry, const dataplane::PacketView& packet)
{
    constexpr auto synAck = TcpFlags::syn | TcpFlags::ack;
    if ((packet.tcpFlags & synAck) == synAck && !entry.synAckSent) {
        entry.ownSequence = packet.sequence;
        entry.ownNext = packet.sequence;
        entry.synAckSent = true;
    }
    if (entry.synAckSent)
        advance(entry.ownNext, packet.sequence + sequenceLength(packet));
}

} // namespace clementinesill::agent

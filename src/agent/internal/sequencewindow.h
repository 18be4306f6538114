#pragma once

#include <cstdint>

namespace clementinesill::dataplane {
struct PacketView;
}

namespace clementinesill::agent {

struct FlowEntry;

// Arithmetic on TCP sequence numbers, which wrap around (RFC 9293, 3.4).

// Maximum distance between the sequence numbers of a connection's packets: two windows of the TCP stack of 64 KB each, one
// for data in flight and one for retransmissions.
constexpr std::int32_t sequenceWindowBytes = 1 << 17;

// Distance from one sequence number to another; negative if the second precedes the first.
constexpr std::int32_t sequenceDistance(std::uint32_t from, std::uint32_t to)
{
    return static_cast<std::int32_t>(to - from);
}

// Whether both may belong to the same connection.
constexpr bool areSequencesNear(std::uint32_t left, std::uint32_t right)
{
    const auto distance = sequenceDistance(left, right);
    return distance <= sequenceWindowBytes && distance >= -sequenceWindowBytes;
}

// Number of sequence numbers that the packet occupies, including SYN and FIN.
std::uint32_t sequenceLength(const dataplane::PacketView& packet);

// Whether the caller's packet belongs to this connection and not to another one with the same addresses and ports.
bool belongsTo(const FlowEntry& entry, const dataplane::PacketView& packet);

// Update the highest sequence number sent by the caller or by this agent.
void recordCallerPacket(FlowEntry& entry, const dataplane::PacketView& packet);
void recordOwnPacket(FlowEntry& entry, const dataplane::PacketView& packet);

} // namespace clementinesill::agent

#pragma once

#include <cstdint>

namespace clementinesill::dataplane {
struct PacketView;
}

namespace clementinesill::agent {

struct FlowEntry;

// Arithmetic on TCP sequence numbers, which wrap around (RFC 9293, 3.4).

// Sequence numbers that a live connection's packets may be apart: two of the TCP stack's windows of 64 KB, one for what is
// under way and one for what is sent again.
constexpr std::int32_t sequenceWindowBytes = 1 << 17;

// How far to lies behind from; negative if it lies before.
constexpr std::int32_t sequenceDistance(std::uint32_t from, std::uint32_t to)
{
    return static_cast<std::int32_t>(to - from);
}

// Whether both may belong to one connection.
constexpr bool nearSequence(std::uint32_t left, std::uint32_t right)
{
    const auto distance = sequenceDistance(left, right);
    return distance <= sequenceWindowBytes && distance >= -sequenceWindowBytes;
}

// Sequence numbers that the packet takes up.
std::uint32_t sequenceLength(const dataplane::PacketView& packet);

// Whether the caller's packet belongs to this connection rather than to another one of the same addresses and ports.
bool belongsTo(const FlowEntry& entry, const dataplane::PacketView& packet);

// Record how far the caller and this agent have come.
void noteCallerPacket(FlowEntry& entry, const dataplane::PacketView& packet);
void noteOwnPacket(FlowEntry& entry, const dataplane::PacketView& packet);

} // namespace clementinesill::agent

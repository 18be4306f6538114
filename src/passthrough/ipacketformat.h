#pragma once

#include "passthrough/types/flowpacket.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace clementinesill::passthrough {

// How packets between callers and servers are written. Only the bits that a daemon may change are ever changed.
class IPacketFormat {
public:
    virtual ~IPacketFormat() = default;

    // Empty if the bytes are no whole packet.
    virtual std::optional<FlowPacket> decode(std::span<const std::byte> packet) const = 0;

    // Writes the mark, which a server leaves as it is in a packet that it hands back, and takes the sign off that it was
    // handed back. packet must have been decoded.
    virtual void mark(std::span<std::byte> packet, std::uint32_t mark) const = 0;

    // The reset that tells the caller of this packet that its flow is not open.
    virtual std::vector<std::byte> reset(const FlowPacket& packet) const = 0;
};

} // namespace clementinesill::passthrough

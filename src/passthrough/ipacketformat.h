#pragma once

#include "passthrough/types/flowpacket.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace clementinesill::passthrough {

// Wire format of packets between callers and servers. Modifies only the fields that daemons may change.
class IPacketFormat {
public:
    virtual ~IPacketFormat() = default;

    // Returns nothing if the bytes are not a complete packet.
    virtual std::optional<FlowPacket> decode(std::span<const std::byte> packet) const = 0;

    // Sets the mark, which a server keeps when it bounces the packet, and clears the bounced flag. packet must be one that
    // decode() accepts.
    virtual void setMark(std::span<std::byte> packet, std::uint32_t mark) const = 0;

    // Returns the reset that tells the caller of this packet that its flow is not open.
    virtual std::vector<std::byte> makeReset(const FlowPacket& packet) const = 0;
};

} // namespace clementinesill::passthrough

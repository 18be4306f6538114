#pragma once

#include "passthrough/types/flowpacket.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace clementinesill::passthrough {

// A caller's packet that a balancer has read.
struct EntryPacket {
    FlowPacket packet;
    std::span<const std::byte> bytes;
    // Priority of its route; 0 is the highest.
    std::uint32_t priority = 0;
};

} // namespace clementinesill::passthrough

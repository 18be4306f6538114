#pragma once

#include "dataplane/types/tcpflags.h"
#include "fleet/types/flowkey.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace clementinesill::dataplane {

// What routing needs of one IPv4 packet. Views the packet's bytes, which must outlive it.
struct PacketView {
    std::span<const std::byte> bytes;
    // Source as caller, destination as service.
    fleet::FlowKey key;
    // 0 for UDP.
    std::uint8_t tcpFlags = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    // Bytes behind the TCP or UDP header.
    std::uint16_t payloadBytes = 0;

    bool opensTcpFlow() const { return (tcpFlags & (TcpFlags::syn | TcpFlags::ack | TcpFlags::rst)) == TcpFlags::syn; }
};

} // namespace clementinesill::dataplane

#pragma once

#include "dataplane/types/tcpflags.h"
#include "fleet/types/flowkey.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace clementinesill::dataplane {

// Header fields of an IPv4 packet that routing needs. bytes is a view; the packet must outlive it.
struct PacketView {
    std::span<const std::byte> bytes;
    // The packet's source is the caller, its destination the service.
    fleet::FlowKey key;
    // Bits of TcpFlags; 0 for UDP.
    std::uint8_t tcpFlags = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    // Bytes after the TCP or UDP header.
    std::uint16_t payloadBytes = 0;

    bool opensTcpFlow() const { return (tcpFlags & (TcpFlags::syn | TcpFlags::ack | TcpFlags::rst)) == TcpFlags::syn; }
};

} // namespace clementinesill::dataplane

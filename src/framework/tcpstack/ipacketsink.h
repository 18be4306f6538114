#pragma once

#include <cstddef>
#include <span>

namespace clementinesill::tcpstack {

// Receives the IPv4 packets that a TCP stack sends. Called on the stack's event loop only.
class IPacketSink {
public:
    virtual ~IPacketSink() = default;

    virtual void sendPacket(std::span<const std::byte> packet) = 0;
};

} // namespace clementinesill::tcpstack

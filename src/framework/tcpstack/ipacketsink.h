#pragma once

#include <cstddef>
#include <span>

namespace clementinesill::tcpstack {

// Takes the IPv4 packets that a stack sends. Called on the stack's loop only.
class IPacketSink {
public:
    virtual ~IPacketSink() = default;

    virtual void sendPacket(std::span<const std::byte> packet) = 0;
};

} // namespace clementinesill::tcpstack

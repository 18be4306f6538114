#pragma once

#include "fleet/types/flowkey.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>

namespace clementinesill::passthrough {

// Header of a packet between a caller and a server, independent of the wire format.
struct FlowPacket {
    // When a caller sends its SYN and its retransmissions, measured from the first one; see docs/platform.md.
    static constexpr std::array synTransmitTimes { std::chrono::milliseconds(0), std::chrono::milliseconds(200), std::chrono::milliseconds(600) };

    // key.caller is the source and key.service the destination, so the two are swapped in packets sent by a server.
    fleet::FlowKey key;
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool rst = false;
    // The server returned the caller's packet undelivered, because it does not hold the flow or cannot accept it.
    bool bounced = false;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint16_t payloadBytes = 0;
    // Identifies the packet's search if the server bounces it: set by the agent in a packet to the server, and kept by the
    // server when it bounces the packet; 0 if not set.
    std::uint32_t mark = 0;

    bool opensFlow() const { return syn && !ack && !rst; }

    // For a SYN: how many times the caller had sent it before. The caller puts this count in the acknowledgement field.
    std::uint32_t synRetransmissions() const { return acknowledgement; }

    // For a SYN: how long the caller had waited since sending it first.
    std::chrono::milliseconds callerWaitTime() const { return synTransmitTimes[std::min<std::size_t>(synRetransmissions(), synTransmitTimes.size() - 1)]; }

    // The flow of a packet sent by a server.
    fleet::FlowKey flowOfServerPacket() const { return { .caller = key.service, .service = key.caller, .protocol = key.protocol }; }
};

} // namespace clementinesill::passthrough

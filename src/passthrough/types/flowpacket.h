#pragma once

#include "fleet/types/flowkey.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>

namespace clementinesill::passthrough {

// Header of a packet between a caller and a server, whatever its format on the wire.
struct FlowPacket {
    // When a caller that gets no answer sends its opening packet and the copies of it; docs/platform.md.
    static constexpr std::array copyTimes { std::chrono::milliseconds(0), std::chrono::milliseconds(200), std::chrono::milliseconds(600) };

    // Source as caller, destination as service; reversed for a server's own packets.
    fleet::FlowKey key;
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool rst = false;
    // The server handed the caller's packet back: it does not hold the flow, or cannot take it.
    bool bounced = false;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledgement = 0;
    std::uint16_t payloadBytes = 0;
    // What a daemon wrote into the packet when it handed it to the server; 0 for nothing.
    std::uint32_t mark = 0;

    bool opensFlow() const { return syn && !ack && !rst; }

    // For a packet that opens a flow: how many copies of it were sent before.
    std::uint32_t earlierCopies() const { return acknowledgement; }

    // For a packet that opens a flow: how long the caller has waited since the first one.
    std::chrono::milliseconds waited() const { return copyTimes[std::min<std::size_t>(earlierCopies(), copyTimes.size() - 1)]; }

    // The flow, for a packet that a server sent.
    fleet::FlowKey flowOfAnswer() const { return { .caller = key.service, .service = key.caller, .protocol = key.protocol }; }
};

} // namespace clementinesill::passthrough

#pragma once

#include "passthrough/types/flowpacket.h"

namespace clementinesill::passthrough {

constexpr Endpoint testService { .address = 0xc6120001, .port = 443 };

inline fleet::FlowKey testFlow(std::uint16_t callerPort = 40001)
{
    return { .caller = { .address = 0x64400007, .port = callerPort }, .service = testService };
}

inline FlowPacket synPacket(std::uint16_t callerPort = 40001, std::uint32_t synRetransmissions = 0)
{
    return { .key = testFlow(callerPort), .syn = true, .sequence = 1000, .acknowledgement = synRetransmissions };
}

// Returns a caller's packet on an open flow that acknowledges the server's sequence number.
inline FlowPacket callerPacket(std::uint32_t serverSequence, std::uint16_t payload = 0, std::uint32_t sequence = 1001, std::uint16_t callerPort = 40001)
{
    return { .key = testFlow(callerPort), .ack = true, .sequence = sequence, .acknowledgement = serverSequence + 1, .payloadBytes = payload };
}

inline FlowPacket synAckPacket(std::uint32_t serverSequence, std::uint16_t callerPort = 40001)
{
    const auto flow = testFlow(callerPort);
    return { .key = { .caller = flow.service, .service = flow.caller }, .syn = true, .ack = true, .sequence = serverSequence, .acknowledgement = 1001 };
}

inline FlowPacket serverPacket(std::uint32_t sequence, std::uint16_t payload, std::uint16_t callerPort = 40001)
{
    const auto flow = testFlow(callerPort);
    return { .key = { .caller = flow.service, .service = flow.caller }, .ack = true, .sequence = sequence, .acknowledgement = 1001, .payloadBytes = payload };
}

} // namespace clementinesill::passthrough

#pragma once

#include "foundation/iclock.h"
#include "foundation/types/endpoint.h"

#include <cstdint>

namespace clementinesill::agent {

enum class FlowState : std::uint8_t {
    // The SYN was answered; the caller's ACK is awaited.
    HalfOpen,
    Established,
    // The connection has ended; kept so that late packets still find the TCP stack.
    Closing,
};

// One flow that this agent holds. The state is changed through the flow table only.
struct FlowEntry {
    FlowState state = FlowState::HalfOpen;
    // A task serves the connection and will end the flow.
    bool served = false;
    bool synAckSent = false;
    // Sequence number of the caller's SYN.
    std::uint32_t callerSequence = 0;
    // One behind the highest sequence number that the caller has sent.
    std::uint32_t callerNext = 0;
    // Sequence number of our SYN-ACK; valid once synAckSent.
    std::uint32_t ownSequence = 0;
    // One behind the highest sequence number that we have sent.
    std::uint32_t ownNext = 0;
    // Tells flows of the same key apart; set by the flow table.
    std::uint64_t id = 0;
    // Where answers go: the ingress of the newest packet.
    Endpoint ingress;
    // When the caller's newest packet came, or the state changed.
    MonotonicTime lastPacket;
};

} // namespace clementinesill::agent

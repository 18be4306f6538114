#pragma once

#include "foundation/iclock.h"
#include "foundation/types/endpoint.h"

#include <cstdint>

namespace clementinesill::agent {

enum class FlowState {
    // The SYN was answered; the caller's ACK is awaited.
    HalfOpen,
    Established,
    // Both directions have ended; kept so that late packets still find the TCP stack.
    Closing,
};

// One flow that this agent holds.
struct FlowEntry {
    FlowState state = FlowState::HalfOpen;
    // Sequence number of the caller's SYN.
    std::uint32_t callerSequence = 0;
    // Sequence number of our SYN-ACK; valid once synAckSent.
    std::uint32_t ownSequence = 0;
    bool synAckSent = false;
    // Where answers go: the ingress of the newest packet.
    Endpoint ingress;
    MonotonicTime lastPacket;
};

} // namespace clementinesill::agent

#pragma once

#include "foundation/iclock.h"
#include "foundation/types/endpoint.h"

#include <cstdint>

namespace clementinesill::agent {

enum class FlowState : std::uint8_t {
    // A SYN was received; waiting for the caller's ACK of the SYN-ACK.
    HalfOpen,
    Established,
    // The connection has ended; the entry is kept so that delayed packets still reach the TCP stack.
    Closing,
};

// One flow that this agent holds. The state must only be changed with IFlowTable::setState.
struct FlowEntry {
    FlowState state = FlowState::HalfOpen;
    // A task serves the connection and ends the flow when it finishes.
    bool served = false;
    bool synAckSent = false;
    // Sequence number of the caller's SYN.
    std::uint32_t callerSequence = 0;
    // One past the highest sequence number that the caller has sent.
    std::uint32_t callerNext = 0;
    // Sequence number of this agent's SYN-ACK; valid if synAckSent is set.
    std::uint32_t ownSequence = 0;
    // One past the highest sequence number that this agent has sent; valid if synAckSent is set.
    std::uint32_t ownNext = 0;
    // Distinguishes successive flows of the same key. Assigned by the flow table.
    std::uint64_t id = 0;
    // The ingress through which the caller's newest packet arrived; packets to the caller are sent there.
    Endpoint ingress;
    // Time of the caller's newest packet or of the last state change.
    MonotonicTime lastActivity;
};

} // namespace clementinesill::agent

#pragma once

#include "foundation/iclock.h"

#include <cstdint>

namespace clementinesill::passthrough {

// A flow of the server on this agent's VM.
struct TrackedFlow {
    // The server has sent its SYN-ACK, or the flow was opened before this agent started.
    bool synAckSeen = false;
    // The caller has acknowledged the SYN-ACK, or the flow was opened before this agent started.
    bool established = false;
    bool callerFinSeen = false;
    bool serverFinSeen = false;
    // One of the ends has sent a reset.
    bool reset = false;
    // A request has no response yet; set on opening, before the first request arrives.
    bool awaitsResponse = false;
    // The first byte of the flow's first request has arrived, or the flow was opened before this agent started.
    bool requestSeen = false;
    // The request that awaits a response has a slot, as far as the agent can tell, since workStart.
    bool occupiesSlot = false;
    // Sequence number of the SYN, or of the server's first acknowledgement if the flow was opened before this agent started.
    std::uint32_t initialCallerSequence = 0;
    // One past the highest sequence number that the caller has sent.
    std::uint32_t nextCallerSequence = 0;
    // Sequence number of the SYN-ACK.
    std::uint32_t initialServerSequence = 0;
    std::uint32_t nextServerSequence = 0;
    // Highest sequence number of the server when the current request arrived; its response begins there.
    std::uint32_t responseStartSequence = 0;
    // When the request that awaits a response arrived.
    MonotonicTime requestTime;
    MonotonicTime workStart;
    MonotonicTime lastPacketTime;

    bool closed() const { return reset || (callerFinSeen && serverFinSeen); }
};

} // namespace clementinesill::passthrough

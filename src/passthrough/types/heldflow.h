#pragma once

#include "foundation/iclock.h"

#include <cstdint>

namespace clementinesill::passthrough {

// A flow whose server stands beside this agent.
struct HeldFlow {
    // The server's answer to the opening packet was seen, or the flow is older than this agent.
    bool answered = false;
    // The caller has acknowledged the server's answer, or the flow is older than this agent.
    bool established = false;
    bool callerFinished = false;
    bool serverFinished = false;
    // Reset by one of its ends.
    bool reset = false;
    // A request of the caller, or the one that an opening flow will bring, has no answer yet.
    bool awaitsAnswer = false;
    std::uint32_t callerSequence = 0;
    // One behind the highest sequence number that the caller has sent.
    std::uint32_t callerNext = 0;
    // Sequence number of the server's answer to the opening packet.
    std::uint32_t serverSequence = 0;
    std::uint32_t serverNext = 0;
    // When the request that awaits an answer came.
    MonotonicTime requestedAt;
    MonotonicTime lastPacket;

    bool closed() const { return reset || (callerFinished && serverFinished); }
};

} // namespace clementinesill::passthrough

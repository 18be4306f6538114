#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace clementinesill::passthrough {

// State on which an agent based a decision; for the log.
struct RelayDecisionContext {
    std::uint64_t tableVersion = 0;
    // Time since the leader last confirmed that no newer table exists; empty if it never has.
    std::optional<std::chrono::milliseconds> tableAge;
    // Requests at the server without a response, and how long another request would wait for a slot.
    std::uint32_t outstanding = 0;
    std::chrono::milliseconds expectedQueueingDelay { 0 };
    // Sequence number of the flow's SYN, if the flow is held.
    std::optional<std::uint32_t> initialSequence;
};

} // namespace clementinesill::passthrough

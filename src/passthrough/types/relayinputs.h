#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace clementinesill::passthrough {

// What an agent knew when it decided about a packet.
struct RelayInputs {
    std::uint64_t tableVersion = 0;
    // Since the leader said last that no newer table exists; empty if never.
    std::optional<std::chrono::milliseconds> tableAge;
    // Requests without an answer at the server, and how long another one would wait there.
    std::uint32_t outstanding = 0;
    std::chrono::milliseconds expectedWait { 0 };
    // Sequence number that opened the flow, if the flow is held.
    std::optional<std::uint32_t> openingSequence;
};

} // namespace clementinesill::passthrough

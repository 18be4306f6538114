#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace clementinesill::fleet {
struct FlowKey;
}

namespace clementinesill::passthrough {

struct EntryDecision;
struct FlowPacket;
struct RelayDecision;
struct RelayInputs;
struct Search;

// Log lines for what becomes of packets, one for each decision that is not plain delivery on a known flow; docs/OPERATIONS.md.

// The name under which a request's lines are found: its flow, and the sequence number that opened it where that is known.
std::string requestId(const fleet::FlowKey& flow, std::optional<std::uint32_t> openingSequence);

// A balancer's decision with the version of the table that it was made by.
void logDecision(const EntryDecision& decision, const FlowPacket& packet, std::uint64_t tableVersion);

// An agent's decision.
void logDecision(const RelayDecision& decision, const Search& search, const FlowPacket& packet, const RelayInputs& inputs);

} // namespace clementinesill::passthrough

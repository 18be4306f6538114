#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace clementinesill::dataplane {
struct LoadNotice;
}

namespace clementinesill::fleet {
struct FlowKey;
}

namespace clementinesill::passthrough {

struct EntryDecision;
struct FlowPacket;
struct RelayDecision;
struct RelayDecisionContext;
struct Search;

// Log lines for routing decisions, one for each decision except those for packets of open flows that a balancer forwards or
// that an agent delivers without a search; see docs/OPERATIONS.md.

// Returns the id that all log lines of a request share: its flow, and the sequence number of the SYN if that is known.
std::string requestId(const fleet::FlowKey& flow, std::optional<std::uint32_t> initialSequence);

// Logs a balancer's decision. tableVersion is the version of the table that it is based on.
void logDecision(const EntryDecision& decision, const FlowPacket& packet, std::uint64_t tableVersion);

// Logs a load notice that a balancer received.
void logNotice(const dataplane::LoadNotice& notice, std::uint32_t serviceId);

// Logs an agent's decision.
void logDecision(const RelayDecision& decision, const Search& search, const FlowPacket& packet, const RelayDecisionContext& context);

} // namespace clementinesill::passthrough

#pragma once

#include "dataplane/types/loadnotice.h"

#include <cstdint>
#include <optional>

namespace clementinesill::passthrough {

struct FlowPacket;
struct RelayDecision;
struct Search;

// Returns what the search for room that ends with this decision tells the balancer about the servers it visited; nothing if the
// SYN came directly from the balancer and found room. Answers bursts: with it, the balancer places new flows at servers with
// room and rejects those that none can take, instead of each of them repeating the search. serverId is that of the agent,
// priority that of the route.
std::optional<dataplane::LoadNotice> makeLoadNotice(const RelayDecision& decision, const Search& search, const FlowPacket& packet, std::uint32_t serverId, std::uint32_t priority);

} // namespace clementinesill::passthrough

#pragma once

#include "dataplane/types/loadnotice.h"
#include "foundation/iclock.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace clementinesill::passthrough {

struct FlowPacket;
struct RelayDecision;
struct Search;

// Returns for how long a balancer should send no new flows to a full server. Each time a request starts, the server has room
// for one more SYN, and the balancers together should offer about one: so each of them waits for as many starts as there are
// balancers. Shorter times let rejected SYNs take up the entry links, longer ones leave servers without work.
std::chrono::milliseconds fullValidity(std::size_t balancers, Duration timePerStart);

// Returns what the search for room that ends with this decision tells the balancer about the servers it visited; nothing if the
// SYN came directly from the balancer and found room. Answers bursts: with it, the balancer places new flows at servers with
// room and rejects those that none can take, instead of each of them repeating the search. serverId is that of the agent,
// priority that of the route.
std::optional<dataplane::LoadNotice> makeLoadNotice(const RelayDecision& decision, const Search& search, const FlowPacket& packet, std::uint32_t serverId, std::uint32_t priority, std::chrono::milliseconds validityIfFull);

} // namespace clementinesill::passthrough

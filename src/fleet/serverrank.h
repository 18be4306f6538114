#pragma once

#include "fleet/types/flowkey.h"
#include "fleet/types/serverentry.h"

#include <cstdint>
#include <span>

namespace clementinesill::fleet {

// Weighted rendezvous hashing: every daemon ranks the same servers for a flow in the same order.
// A server that comes or goes moves only its own place in the order.

// Score of one server for a flow hash; higher ranks first. Ties are broken by the lower id.
double rendezvousScore(std::uint64_t flowHash, const ServerEntry& server);

// Writes the indices of the first ranked.size() servers in rank order; returns how many were written. Does not allocate.
std::size_t rankServers(std::uint64_t flowHash, std::span<const ServerEntry> servers, std::span<std::uint16_t> ranked);

} // namespace clementinesill::fleet

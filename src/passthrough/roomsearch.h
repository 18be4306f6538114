#pragma once

#include "foundation/iclock.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace clementinesill::admission {
struct QueueTraits;
}

namespace clementinesill::fleet {
class FleetTable;
struct RouteEntry;
struct ServerEntry;
struct ServiceEntry;
} // namespace clementinesill::fleet

namespace clementinesill::passthrough {

struct Search;

// Rules of the search for a server with room for a new flow. Answers bursts of several times the capacity: without limits, each
// rejected SYN visits up to 30 agents, and a SYN waits until its caller's retransmission adds to the load.

// A request may spend a third of the latency target in a queue; the rest of the target is left for the network and for
// processing.
constexpr int queueingDelayDivisor = 3;
// Servers that a SYN visits to find a free slot; it may wait at the last one.
constexpr std::size_t serversAskedForSlot = 4;
// Servers that a SYN visits in all.
constexpr std::size_t serversAskedForRoom = 8;

// The place in the queue of a SYN that has arrived now. route may be null.
admission::QueueTraits waitingTraits(const fleet::RouteEntry* route, Duration work, MonotonicTime now);

// Returns the next server to ask; null if there is none. The search asks two servers of a zone before it goes on to the next
// zone, since all servers of a zone may be busy while others are free. Downloads stay in their zone as long as possible,
// because bytes between zones cost. serverId and zone are those of the agent.
const fleet::ServerEntry* nextServerForRoom(const Search& search, std::uint64_t flowHash, const fleet::ServiceEntry& service, const fleet::RouteEntry* route, const fleet::FleetTable& table, std::uint32_t serverId, const std::string& zone);

} // namespace clementinesill::passthrough

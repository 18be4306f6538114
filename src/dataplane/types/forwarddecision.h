#pragma once

#include "dataplane/types/route.h"

#include <cstddef>
#include <string_view>

namespace clementinesill::fleet {
class FleetTable;
struct ServerEntry;
} // namespace clementinesill::fleet

namespace clementinesill::dataplane {

// Why a balancer chose the target of a packet, or dropped the packet.
enum class ForwardReason {
    // A new flow, or a UDP flow that is not in the flow cache: the first server in rank order that accepts new flows.
    FirstAccepting,
    // The server in the flow cache.
    CacheHit,
    // Any other packet: the first server in rank order whose zone is in service; silent servers come last.
    FirstInRank,
    // The round-robin strategy, a baseline for benchmarks.
    RoundRobin,
    NoService,
    NoServer,
    // No server of the service accepts new flows.
    NoAcceptingServer,
};
constexpr std::size_t forwardReasonCount = 7;

std::string_view name(ForwardReason reason);

// The agent that a packet is forwarded to. If the packet is dropped, agent and route are unset.
struct ForwardDecision {
    ForwardReason reason = ForwardReason::NoService;
    bool dropped = true;
    Endpoint agent;
    Route route;
};

// Decision to forward a packet to the agent of the server. flags are the flags of the route.
ForwardDecision forwardTo(const fleet::ServerEntry& server, const fleet::FleetTable& table, ForwardReason reason, std::uint8_t flags);

ForwardDecision drop(ForwardReason reason);

} // namespace clementinesill::dataplane

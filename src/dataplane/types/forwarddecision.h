#pragma once

#include "dataplane/types/route.h"

#include <cstddef>
#include <string_view>

namespace clementinesill::fleet {
class FleetTable;
struct ServerEntry;
} // namespace clementinesill::fleet

namespace clementinesill::dataplane {

// Why a balancer sent a packet where it did, or dropped it.
enum class ForwardReason {
    // A new flow, or a UDP flow the balancer does not know: the first server in rank order that takes new flows.
    FirstAccepting,
    // A known flow: the server that the flow cache names.
    CacheHit,
    // Any other packet: the first server in rank order whose zone is in.
    FirstInRank,
    // Baseline strategy for measurements.
    RoundRobin,
    NoService,
    NoServer,
    // No server of the service takes new flows.
    NoAcceptingServer,
};
constexpr std::size_t forwardReasons = 7;

std::string_view name(ForwardReason reason);

// Where a packet goes. If it is dropped, agent is unset.
struct ForwardDecision {
    ForwardReason reason = ForwardReason::NoService;
    bool dropped = true;
    Endpoint agent;
    Route route;
};

// Decision to send a packet to the server, as the table knows it; flags are the route's.
ForwardDecision sendTo(const fleet::ServerEntry& server, const fleet::FleetTable& table, ForwardReason reason, std::uint8_t flags);

// Decision to drop a packet.
ForwardDecision drop(ForwardReason reason);

} // namespace clementinesill::dataplane

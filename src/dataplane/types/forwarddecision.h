#pragma once

#include "dataplane/types/route.h"

#include <string_view>

namespace clementinesill::dataplane {

// Why a balancer sent a packet where it did, or dropped it.
enum class ForwardReason {
    // A new flow: the first server in rank order that takes new flows.
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

std::string_view name(ForwardReason reason);

// Where a packet goes. If it is dropped, agent is unset.
struct ForwardDecision {
    ForwardReason reason = ForwardReason::NoService;
    bool dropped = true;
    Endpoint agent;
    Route route;
};

} // namespace clementinesill::dataplane

#pragma once

#include "fleet/types/routetarget.h"
#include "foundation/types/endpoint.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace clementinesill::fleet {

// Whether a request of a route may be repeated.
enum class RequestKind {
    Idempotent,
    // Must run at most once.
    Unsafe,
    // Idempotent, with large responses.
    Download,
};

// An address that several services share. Its targets are services without an address of their own.
struct RouteEntry {
    Endpoint endpoint;
    std::string name;
    std::vector<RouteTarget> targets;
    RequestKind kind = RequestKind::Idempotent;
    std::chrono::milliseconds timeout { 0 };
    std::chrono::milliseconds targetLatency { 0 };
    // 0 is the highest.
    std::uint32_t priority = 0;

    // How long a response may take: the latency target, or the timeout if there is none.
    std::chrono::milliseconds responseTarget() const { return targetLatency.count() ? targetLatency : timeout; }

    // Whether the service is a target with a weight above zero, so that new flows may go to it.
    bool hasTarget(std::uint32_t serviceId) const;

    // Id of the service for a new flow, chosen by weight. The choice depends only on the flow hash, so that all daemons
    // choose the same service. 0 if all weights are zero.
    std::uint32_t serviceFor(std::uint64_t flowHash) const;
};

} // namespace clementinesill::fleet

#pragma once

#include "fleet/types/routetarget.h"
#include "foundation/types/endpoint.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace clementinesill::fleet {

// What repeating a request may do.
enum class RequestKind {
    Idempotent,
    // Runs once at most.
    Unsafe,
    // Idempotent, with large answers.
    Download,
};

// An address shared by services that hold none of their own.
struct RouteEntry {
    Endpoint endpoint;
    std::string name;
    std::vector<RouteTarget> targets;
    RequestKind kind = RequestKind::Idempotent;
    std::chrono::milliseconds timeout { 0 };
    std::chrono::milliseconds targetLatency { 0 };
    // 0 is the highest.
    std::uint32_t priority = 0;

    // Whether new flows may go to the service.
    bool leadsTo(std::uint32_t serviceId) const;

    // The service that a new flow goes to, by weight. Every daemon finds the same one for a flow. 0 if no target has a weight.
    std::uint32_t serviceFor(std::uint64_t flowHash) const;
};

} // namespace clementinesill::fleet

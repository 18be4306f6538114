#pragma once

#include <chrono>

namespace clementinesill::admission {

enum class RequestOutcome {
    Completed,
    // The backend server rejected the request: 503, 429, or connection refused.
    Rejected,
    Failed,
    TimedOut,
    // The caller closed the connection, or its own deadline expired.
    Cancelled,
};

// Kinds of requests that have separate latency baselines.
enum class RequestKind {
    Idempotent,
    NonIdempotent,
};

// Outcome of a finished request, from which the load of its backend server is inferred.
struct RequestResult {
    RequestOutcome outcome = RequestOutcome::Completed;
    // Time from forwarding the request to the start of the response.
    std::chrono::nanoseconds latency { 0 };
    RequestKind kind = RequestKind::Idempotent;
    // Time that the request occupied its slot.
    std::chrono::nanoseconds slotTime { 0 };
};

} // namespace clementinesill::admission

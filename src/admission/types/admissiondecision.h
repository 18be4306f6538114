#pragma once

#include "admission/types/admissionload.h"

#include <chrono>
#include <cstdint>

namespace clementinesill::admission {

enum class AdmissionReason {
    Admitted,
    Draining,
    ZoneOut,
    ConnectionLimit,
    SlotLimit,
    WarmupLimit,
    QueueTooLong,
    ServerUnhealthy,
};

// Whether something was admitted, why, and when a caller who was refused may come back.
struct AdmissionDecision {
    AdmissionReason reason = AdmissionReason::Admitted;
    std::chrono::milliseconds retryAfter { 0 };

    bool admitted() const { return reason == AdmissionReason::Admitted; }
};

enum class RequestEnd {
    Answered,
    // The backend server refused it: 503, 429, refused connection.
    Shed,
    Failed,
    TimedOut,
    // The caller went away.
    Cancelled,
};

// Requests whose latencies are compared with each other only.
enum class RequestKind {
    Read,
    Order,
};

// What a finished request tells about its backend server.
struct RequestResult {
    RequestEnd end = RequestEnd::Answered;
    // From handing over the request to the start of the answer.
    std::chrono::nanoseconds latency { 0 };
    RequestKind kind = RequestKind::Read;
};

} // namespace clementinesill::admission

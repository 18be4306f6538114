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

// Result of an admission check: whether the flow or request is admitted, the reason, and the time after which a rejected
// caller may retry.
struct AdmissionDecision {
    AdmissionReason reason = AdmissionReason::Admitted;
    std::chrono::milliseconds retryAfter { 0 };

    bool admitted() const { return reason == AdmissionReason::Admitted; }
};

} // namespace clementinesill::admission

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

} // namespace clementinesill::admission

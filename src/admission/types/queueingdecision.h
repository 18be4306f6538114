#pragma once

#include "admission/requestqueue.h"
#include "admission/types/admissiondecision.h"

#include <optional>

namespace clementinesill::admission {

// Result of submitting a request: admitted, queued or rejected.
struct QueueingDecision {
    AdmissionDecision decision;
    // Set if the request is queued; `decision` then gives the reason why it was not admitted immediately.
    std::optional<QueuedRequest> queuedRequest;
};

} // namespace clementinesill::admission

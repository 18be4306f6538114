#pragma once

#include "admission/types/admissiondecision.h"
#include "admission/types/queuedrequest.h"
#include "admission/types/waitoutcome.h"

#include <optional>
#include <vector>

namespace clementinesill::admission {

// Result of submitting a request: admitted, queued or rejected.
struct QueueingDecision {
    AdmissionDecision decision;
    // Set if the request is queued; `decision` then gives the reason why it was not admitted immediately.
    std::optional<QueuedRequest> queuedRequest;
    // Queued requests that this request displaces.
    std::vector<WaitOutcome> displaced;
};

} // namespace clementinesill::admission

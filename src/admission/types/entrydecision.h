#pragma once

#include "admission/requestqueue.h"
#include "admission/types/admissiondecision.h"

#include <optional>

namespace clementinesill::admission {

// What became of a request that asked to start: admitted, queued at a place, or refused.
struct EntryDecision {
    AdmissionDecision decision;
    // Set if it is queued; the decision then tells why it did not start at once.
    std::optional<QueuePlace> place;
};

} // namespace clementinesill::admission

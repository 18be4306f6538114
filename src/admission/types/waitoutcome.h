#pragma once

#include "admission/types/admissiondecision.h"

#include <cstdint>

namespace clementinesill::admission {

// Ends the wait of a queued request: it is admitted or rejected.
struct WaitOutcome {
    std::uint64_t id = 0;
    AdmissionDecision decision;
};

} // namespace clementinesill::admission

#pragma once

#include "foundation/iclock.h"

#include <cstdint>

namespace clementinesill::admission {

// Identifies a queued request and limits its wait. It must be dequeued after `maximumWait`, unless a
// WaitOutcome has ended its wait.
struct QueuedRequest {
    std::uint64_t id = 0;
    Duration maximumWait { 0 };
};

} // namespace clementinesill::admission

#pragma once

#include "foundation/iclock.h"

#include <cstdint>

namespace clementinesill::admission {

// Properties of a waiting request that determine its place in the queue.
struct QueueTraits {
    // 0 is the highest.
    std::uint32_t priority = 0;
    // How long the request occupies a slot.
    Duration expectedWork { 0 };
    // When the response is due to meet the latency target.
    MonotonicTime targetTime;
    // The request is rejected if it has not left the queue by then.
    MonotonicTime latestStart;
};

} // namespace clementinesill::admission

#pragma once

#include "foundation/iclock.h"

#include <cstddef>

namespace clementinesill::admission {

// Bounds of the queue before a backend server.
struct QueueOptions {
    std::size_t length = 64;
    // Longest wait while the queue empties now and then.
    Duration interval = std::chrono::milliseconds(100);
    // A shortest wait above this over an interval shows a standing queue; the longest wait is then twice this.
    Duration target = std::chrono::milliseconds(20);
};

} // namespace clementinesill::admission

#pragma once

#include "foundation/iclock.h"

#include <cstddef>

namespace clementinesill::admission {

// Bounds of the request queue of a backend server.
struct QueueOptions {
    // Maximum number of queued requests.
    std::size_t maximumLength = 64;
    // Maximum wait while there is no standing queue, and the interval over which the shortest wait is measured.
    Duration interval = std::chrono::milliseconds(100);
    // The queue counts as a standing queue while the shortest wait over an interval is above this; the maximum wait is then
    // twice this.
    Duration target = std::chrono::milliseconds(20);
};

} // namespace clementinesill::admission

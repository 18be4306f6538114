#pragma once

#include "foundation/iclock.h"

#include <cstdint>

namespace clementinesill::admission {

// A queued request: its number, and how long it may wait before it is refused.
struct QueuePlace {
    std::uint64_t id = 0;
    Duration longestWait { 0 };
};

} // namespace clementinesill::admission

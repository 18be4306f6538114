#pragma once

#include "foundation/iclock.h"

#include <chrono>

namespace clementinesill::control {

struct LeaseTrackerOptions {
    // A server that has not renewed its lease for this long is silent and receives no new flows.
    Duration lease = std::chrono::seconds(3);
    // Number of lease durations without a renewal after which a silent server is removed.
    int expiryLeases = 5;
};

} // namespace clementinesill::control

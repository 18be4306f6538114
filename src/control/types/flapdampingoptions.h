#pragma once

#include "foundation/iclock.h"

#include <chrono>

namespace clementinesill::control {

struct FlapDampingOptions {
    // Time in which a penalty halves.
    Duration halfLife = std::chrono::seconds(30);
    // Penalty, in flaps, from which a server takes no new flows, and below which it does again.
    double suppressAt = 2.5;
    double releaseBelow = 1.0;
};

} // namespace clementinesill::control

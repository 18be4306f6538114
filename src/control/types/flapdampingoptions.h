#pragma once

#include "foundation/iclock.h"

#include <chrono>

namespace clementinesill::control {

struct FlapDampingOptions {
    // Half-life of the penalty.
    Duration halfLife = std::chrono::seconds(30);
    // Penalty, in flaps, at which a server stops receiving new flows, and below which it receives them again.
    double suppressThreshold = 2.5;
    double reuseThreshold = 1.0;
};

} // namespace clementinesill::control

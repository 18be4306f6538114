#pragma once

#include "foundation/iclock.h"

#include <chrono>

namespace clementinesill::control {

struct ControllerOptions {
    Duration serverLease = std::chrono::seconds(3);
};

} // namespace clementinesill::control

#pragma once

#include "foundation/iclock.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace clementinesill::operators {

struct ControllerClientOptions {
    // gRPC endpoints, tried in this order.
    std::vector<std::string> controllers;
    // Limit for all attempts of one call together.
    std::chrono::milliseconds timeout { 10'000 };
    // Limit for one attempt at one controller.
    std::chrono::milliseconds attemptTimeout { 3'000 };
    // Blocks between attempts; tests advance their clock instead.
    std::function<void(Duration)> sleep;
};

} // namespace clementinesill::operators

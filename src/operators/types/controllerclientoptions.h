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
    // Over all attempts of one call.
    std::chrono::milliseconds timeout { 10'000 };
    // One attempt at one controller.
    std::chrono::milliseconds attemptTimeout { 3'000 };
    // Waits between attempts; a test advances its clock instead.
    std::function<void(Duration)> pause;
};

} // namespace clementinesill::operators

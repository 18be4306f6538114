#pragma once

#include "foundation/types/endpoint.h"

#include <chrono>
#include <string>

namespace clementinesill::agent {

// Endpoint and timing of the health probes.
struct ServerHealthCheckerOptions {
    Endpoint server;
    std::string healthPath;
    std::chrono::milliseconds interval { 1000 };
    // Maximum duration of a probe.
    std::chrono::milliseconds timeout { 500 };
};

} // namespace clementinesill::agent

#pragma once

#include "foundation/types/endpoint.h"

#include <chrono>
#include <string>

namespace clementinesill::agent {

// How the backend server's health endpoint is looked at.
struct ServerWatchOptions {
    Endpoint server;
    std::string healthPath;
    std::chrono::milliseconds interval { 1000 };
    // Longest wait for an answer.
    std::chrono::milliseconds timeout { 500 };
};

} // namespace clementinesill::agent

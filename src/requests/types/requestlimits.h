#pragma once

#include "foundation/iclock.h"

#include <chrono>
#include <cstddef>

namespace clementinesill::requests {

// Limits on a caller's requests and connections.
struct RequestLimits {
    // Request line and header fields together.
    std::size_t headerBytes = std::size_t { 16 } * 1024;
    std::size_t headerCount = 100;
    std::size_t targetBytes = std::size_t { 8 } * 1024;
    // From the first byte of a request to the end of its header; also the wait for a connection's first request.
    Duration headerTimeout = std::chrono::seconds(10);
    // Idle time between two requests of a connection.
    Duration keepAliveTimeout = std::chrono::seconds(75);
    // Longest wait for more of a request's body, and for one write of a response to finish.
    Duration stallTimeout = std::chrono::seconds(30);
    // Time to wait for the caller to close its side after the proxy has closed its own.
    Duration lingerTimeout = std::chrono::seconds(2);
};

} // namespace clementinesill::requests

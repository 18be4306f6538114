#pragma once

#include "foundation/iclock.h"

#include <chrono>
#include <cstddef>

namespace clementinesill::requests {

// Bounds on what a caller sends.
struct RequestLimits {
    // Request line and header fields together.
    std::size_t headerBytes = std::size_t { 16 } * 1024;
    std::size_t headerCount = 100;
    std::size_t targetBytes = std::size_t { 8 } * 1024;
    // From the first byte of a request to the end of its header, and for the first request of a connection.
    Duration headerTimeout = std::chrono::seconds(10);
    // Between two requests of a connection.
    Duration keepAliveTimeout = std::chrono::seconds(75);
    // Longest silence within a request's body, or while the caller takes nothing of an answer.
    Duration stallTimeout = std::chrono::seconds(30);
    // How long a closed connection waits for the caller's end.
    Duration lingerTimeout = std::chrono::seconds(2);
};

} // namespace clementinesill::requests

#pragma once

#include "admission/types/queueoptions.h"
#include "foundation/iclock.h"
#include "foundation/types/endpoint.h"
#include "requests/types/keystoreoptions.h"
#include "requests/types/retrybudgetoptions.h"

#include <cstddef>
#include <cstdint>
#include <string>

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

// What the request gate of one backend server needs.
struct RequestGateOptions {
    // Name of the service in logs and metrics.
    std::string service;
    // HTTP endpoint of the backend server.
    Endpoint server;
    // Longest wait for the start of an answer.
    Duration requestTimeout = std::chrono::seconds(30);
    // An unbounded answer that is still open after this time is a feed and gives its slot back.
    Duration feedAfter = std::chrono::seconds(1);
    // How long a drain waits for a request on an idle connection before it ends it.
    Duration drainGrace = std::chrono::seconds(1);
    RequestLimits limits;
    admission::QueueOptions queue;
    RetryBudgetOptions retries;
    KeyStoreOptions keys;
};

} // namespace clementinesill::requests

#pragma once

#include "admission/types/queueoptions.h"
#include "foundation/iclock.h"
#include "foundation/types/endpoint.h"
#include "requests/types/keystoreoptions.h"
#include "requests/types/requestlimits.h"
#include "requests/types/retrybudgetoptions.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace clementinesill::requests {

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

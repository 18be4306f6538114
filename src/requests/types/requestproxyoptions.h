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

// Settings of the request proxy of one backend server.
struct RequestProxyOptions {
    // Name of the service in logs and metrics.
    std::string service;
    // HTTP endpoint of the backend server.
    Endpoint server;
    // Time from a request's header to the response's header; callers may ask for less.
    Duration requestTimeout = std::chrono::seconds(30);
    // A response without Content-Length that is still open after this time is classed as streaming and frees its
    // admission slot.
    Duration streamingAfter = std::chrono::seconds(1);
    // A drain closes idle connections after this time, so that a request in transit still gets its response.
    Duration drainGracePeriod = std::chrono::seconds(1);
    RequestLimits limits;
    admission::QueueOptions queue;
    RetryBudgetOptions retryBudget;
    KeyStoreOptions keyStore;
};

} // namespace clementinesill::requests

#pragma once

#include "agent/types/keepaliveoptions.h"
#include "agent/types/serveridentity.h"

#include <chrono>

namespace clementinesill {
class IClock;
class MetricsRegistry;
namespace admission {
class IAdmission;
}
namespace fleet {
class ITableSource;
}
namespace requests {
class IRequestProxy;
}
} // namespace clementinesill

namespace clementinesill::agent {

class IFlowTable;

// Dependencies and settings of the flow server. The references must outlive it.
struct FlowServerOptions {
    ServerIdentity identity;
    // The backend server on the same VM.
    Endpoint server;
    IFlowTable& flows;
    admission::IAdmission& admission;
    const IClock& clock;
    MetricsRegistry& metrics;
    // Serves HTTP requests; null for a service in stream mode.
    requests::IRequestProxy* requestProxy = nullptr;
    // Stream mode: whether to send a PROXY protocol header to the backend server.
    bool proxyProtocol = false;
    KeepaliveOptions keepalive;
};

} // namespace clementinesill::agent

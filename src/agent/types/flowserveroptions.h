#pragma once

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
class IRequestGate;
}
} // namespace clementinesill

namespace clementinesill::agent {

class IFlowTable;

// How a silent peer is found.
struct KeepaliveOptions {
    // Silence before the first probe.
    std::chrono::milliseconds idle { 30000 };
    std::chrono::milliseconds interval { 5000 };
    // Unanswered probes after which the connection is broken.
    unsigned count = 4;
};

// What the flow server works with. The references must outlive it.
struct FlowServerOptions {
    ServerIdentity identity;
    // The backend server on the same VM.
    Endpoint server;
    IFlowTable& flows;
    admission::IAdmission& admission;
    const IClock& clock;
    MetricsRegistry& metrics;
    // Serves HTTP requests; null for a service in stream mode.
    requests::IRequestGate* gate = nullptr;
    // Stream mode: sends the PROXY protocol header to the backend server.
    bool proxyProtocol = false;
    KeepaliveOptions keepalive;
};

} // namespace clementinesill::agent

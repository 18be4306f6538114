#pragma once

#include "fleet/types/flowkey.h"
#include "fleet/types/serverentry.h"

#include <chrono>
#include <string>
#include <vector>

namespace clementinesill::fleet {

enum class ServiceMode {
    Stream,
    Http,
};

// A service with its backend servers, whatever their state, in the order of their ids.
struct ServiceEntry {
    std::uint32_t id = 0;
    std::string name;
    Endpoint endpoint;
    TransportProtocol protocol = TransportProtocol::Tcp;
    ServiceMode mode = ServiceMode::Stream;
    bool proxyProtocol = false;
    std::chrono::seconds idleTimeout { 0 };
    std::chrono::milliseconds requestTimeout { 0 };
    // Flows a second that a cold server may be given.
    double coldFlowsPerSecond = 0;
    std::vector<ServerEntry> servers;
};

} // namespace clementinesill::fleet

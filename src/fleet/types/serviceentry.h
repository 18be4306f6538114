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

// A service with all of its backend servers in any state, sorted by id.
struct ServiceEntry {
    std::uint32_t id = 0;
    std::string name;
    // Address 0 if the service has no address of its own and is reached through routes only.
    Endpoint endpoint;
    TransportProtocol protocol = TransportProtocol::Tcp;
    ServiceMode mode = ServiceMode::Stream;
    bool proxyProtocol = false;
    std::chrono::seconds idleTimeout { 0 };
    std::chrono::milliseconds requestTimeout { 0 };
    // Maximum rate of new flows per second to a cold (recently started) server; 0 for no limit.
    double coldFlowsPerSecond = 0;
    // The configuration no longer names the service; its servers finish their open flows.
    bool retired = false;
    // HTTP path at which a server answers with 2xx while it is healthy and does not drain; empty if there is none.
    std::string healthPath;
    std::vector<ServerEntry> servers;
};

} // namespace clementinesill::fleet

#pragma once

#include "foundation/types/endpoint.h"

#include <cstdint>
#include <string>

namespace clementinesill::fleet {

// Record of a backend server in the fleet table.
struct ServerEntry {
    std::uint32_t id = 0;
    std::uint32_t incarnation = 0;
    std::uint32_t serviceId = 0;
    Endpoint agent;
    std::uint32_t weight = 1;
    // Concurrent requests the server can run; 0 if not announced.
    std::uint32_t slots = 0;
    bool draining = false;
    // The server's lease was not renewed: its VM is down, or its agent cannot reach the controllers.
    bool silent = false;
    // The operators took the server's availability zone out of service.
    bool zoneOut = false;
    std::string zone;
    std::string name;

    // Whether new flows may be sent to the server.
    bool accepting() const { return !draining && !silent && !zoneOut; }
};

} // namespace clementinesill::fleet

#pragma once

#include "fleet/types/flowkey.h"

#include <cstdint>

namespace clementinesill::agent {

// What this agent's backend server is to the fleet.
struct ServerIdentity {
    std::uint32_t serviceId = 0;
    std::uint32_t serverId = 0;
    std::uint32_t incarnation = 0;
    // Address the callers use.
    Endpoint service;
    fleet::TransportProtocol protocol = fleet::TransportProtocol::Tcp;
};

} // namespace clementinesill::agent

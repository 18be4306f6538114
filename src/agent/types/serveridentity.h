#pragma once

#include "fleet/types/flowkey.h"

#include <cstdint>

namespace clementinesill::agent {

// Identity of this agent's backend server in the fleet.
struct ServerIdentity {
    std::uint32_t serviceId = 0;
    std::uint32_t serverId = 0;
    std::uint32_t incarnation = 0;
    // The service's endpoint, to which callers connect.
    Endpoint service;
    fleet::TransportProtocol protocol = fleet::TransportProtocol::Tcp;
};

} // namespace clementinesill::agent

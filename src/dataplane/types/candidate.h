#pragma once

#include "foundation/types/endpoint.h"

#include <cstdint>

namespace clementinesill::dataplane {

// A server that may hold the packet's flow, as listed in the sender's table.
struct Candidate {
    std::uint32_t serverId = 0;
    std::uint32_t incarnation = 0;
    Endpoint agent;
    // The server does not accept new flows.
    bool draining = false;

    bool operator==(const Candidate&) const = default;
};

} // namespace clementinesill::dataplane

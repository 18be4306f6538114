#pragma once

#include "foundation/types/endpoint.h"

#include <cstdint>

namespace clementinesill::dataplane {

// A server that may hold the packet's flow, as the sender's table knows it.
struct Candidate {
    std::uint32_t serverId = 0;
    std::uint32_t incarnation = 0;
    Endpoint agent;
    bool draining = false;

    bool operator==(const Candidate&) const = default;
};

} // namespace clementinesill::dataplane

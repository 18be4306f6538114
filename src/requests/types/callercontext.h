#pragma once

#include "foundation/types/endpoint.h"

#include <cstdint>

namespace clementinesill::requests {

// Addresses and log identifiers of a caller's connection.
struct CallerContext {
    // Source address and port of the caller.
    Endpoint caller;
    // Address and port of the service that the caller connected to.
    Endpoint service;
    // Flow number in log lines.
    std::uint64_t flow = 0;
    // Table version under which the flow was admitted.
    std::uint64_t version = 0;
};

} // namespace clementinesill::requests

#pragma once

#include "foundation/types/endpoint.h"

#include <cstdint>

namespace clementinesill::requests {

// What the agent knows of a caller's connection.
struct CallerContext {
    // Address and port the caller sends from.
    Endpoint caller;
    // Address and port of the service the caller reached.
    Endpoint service;
    // Number of the flow in the logs.
    std::uint64_t flow = 0;
    // Table version under which the flow was admitted.
    std::uint64_t version = 0;
};

} // namespace clementinesill::requests

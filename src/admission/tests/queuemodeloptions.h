#pragma once

#include "admission/tests/requestload.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace clementinesill::admission {

// Parameters of the servers of a service and of its callers.
struct QueueModelOptions {
    std::vector<RequestLoad> classes;
    std::uint32_t servers = 46;
    // Slots and queue of one server.
    std::uint32_t slots = 3;
    std::size_t queueLength = 12;
    std::uint64_t seed = 1;
    // Makes all requests equal, as a baseline.
    bool arrivalOrder = false;
    // The burst lasts 8 s.
    Duration burstBegin = std::chrono::seconds(6);
    Duration burstEnd = std::chrono::seconds(14);
    Duration length = std::chrono::seconds(24);
};

} // namespace clementinesill::admission

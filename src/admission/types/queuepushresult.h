#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace clementinesill::admission {

// Result of adding a request to an AdmissionQueue.
struct QueuePushResult {
    // Not set if the request was rejected.
    std::optional<std::uint64_t> id;
    // Requests that were removed to make room, or that can no longer start in time.
    std::vector<std::uint64_t> displaced;
};

} // namespace clementinesill::admission

#pragma once

#include <cstdint>

namespace clementinesill::requests {

// Identifies one attempt to run a request with an idempotency key.
struct ClaimId {
    // Id and incarnation of the claiming agent.
    std::uint32_t server = 0;
    std::uint32_t incarnation = 0;
    // Counts the claims of this incarnation.
    std::uint64_t number = 0;

    auto operator<=>(const ClaimId&) const = default;
};

} // namespace clementinesill::requests

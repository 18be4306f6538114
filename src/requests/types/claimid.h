#pragma once

#include <cstdint>

namespace clementinesill::requests {

// Unique for each try to run a keyed request.
struct ClaimId {
    // The claimant, and its incarnation.
    std::uint32_t server = 0;
    std::uint32_t incarnation = 0;
    std::uint64_t number = 0;

    auto operator<=>(const ClaimId&) const = default;
};

} // namespace clementinesill::requests

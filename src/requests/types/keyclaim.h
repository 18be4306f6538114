#pragma once

#include "requests/types/claimid.h"

#include <compare>
#include <cstdint>

namespace clementinesill::requests {

enum class ClaimVote {
    Granted,
    // The key is granted to another claim.
    Taken,
    // The voter may be missing claims of the key, or is not one of the key's voters.
    Abstained,
};

// A voter's response to a claim.
struct ClaimResponse {
    ClaimVote vote = ClaimVote::Abstained;
    // Smallest majority that the voter accepts, given the views that it has seen.
    std::uint32_t majority = 0;
};

} // namespace clementinesill::requests

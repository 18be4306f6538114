#pragma once

#include "requests/types/claimid.h"

#include <compare>
#include <cstdint>

namespace clementinesill::requests {

enum class ClaimVote {
    Granted,
    // Another claim holds the key.
    Taken,
    // The holder cannot know all claims of the key, or is not one of its holders.
    Abstained,
};

// A holder's answer to a claim.
struct ClaimBallot {
    ClaimVote vote = ClaimVote::Abstained;
    // Grants that make a majority, as far as the holder knows.
    std::uint32_t majority = 0;
};

} // namespace clementinesill::requests

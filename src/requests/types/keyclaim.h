#pragma once

#include <compare>
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

#pragma once

#include "requests/ikeyclaims.h"
#include "requests/types/claimoptions.h"
#include "requests/types/keyclaim.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>

namespace clementinesill::requests {

// One claimant's count of the holders' votes on one claim.
class ClaimRound {
public:
    ClaimRound(std::span<const std::uint32_t> holders, const ClaimOptions& options, const IClock& clock);

    // Takes in a holder's vote; repeated, foreign and late ones do not count.
    void onBallot(std::uint32_t holder, const ClaimBallot& ballot);

    // Empty while it is open; at the round's timeout at the latest it is decided.
    std::optional<ClaimVerdict> verdict() const;

private:
    void decide();

    ClaimOptions m_options;
    const IClock& m_clock;
    MonotonicTime m_begin;
    // Votes by holder.
    std::map<std::uint32_t, std::optional<ClaimVote>> m_votes;
    std::uint32_t m_majority;
    std::optional<ClaimVerdict> m_verdict;
};

} // namespace clementinesill::requests

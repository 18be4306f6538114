#pragma once

#include "requests/ikeyclaims.h"
#include "requests/types/claimoptions.h"
#include "requests/types/keyclaim.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>

namespace clementinesill::requests {

// Counts the votes on one claim for its claimant.
class ClaimRound {
public:
    ClaimRound(std::span<const std::uint32_t> voters, const ClaimOptions& options, const IClock& clock);

    // Counts a voter's response. Ignores duplicates, agents that are not voters of the key, and late responses.
    void onResponse(std::uint32_t voter, const ClaimResponse& response);

    // Empty until the round is decided, which is at its timeout at the latest.
    std::optional<ClaimResult> result() const;

private:
    void decide();

    ClaimOptions m_options;
    const IClock& m_clock;
    MonotonicTime m_startTime;
    // Votes by voter; empty until the voter responds.
    std::map<std::uint32_t, std::optional<ClaimVote>> m_votes;
    std::uint32_t m_majority;
    std::optional<ClaimResult> m_result;
};

} // namespace clementinesill::requests

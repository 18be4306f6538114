#include "requests/claimround.h"

#include "requests/claimvoters.h"

#include <algorithm>

namespace clementinesill::requests {

ClaimRound::ClaimRound(std::span<const std::uint32_t> voters, const ClaimOptions& options, const IClock& clock)
    : m_options(options)
    , m_clock(clock)
    , m_startTime(clock.now())
    , m_majority(claimMajority(voters.size()))
{
    for (const auto voter : voters)
        m_votes.emplace(voter, std::nullopt);
}

void ClaimRound::onResponse(std::uint32_t voter, const ClaimResponse& response)
{
    const auto found = m_votes.find(voter);
    if (result() || found == m_votes.end() || found->second)
        return;
    found->second = response.vote;
    m_majority = std::max(m_majority, response.majority);
    decide();
}

void ClaimRound::decide()
{
    std::uint32_t granted = 0;
    std::uint32_t outstanding = 0;
    bool taken = false;
    for (const auto& [voter, vote] : m_votes) {
        outstanding += vote ? 0 : 1;
        granted += vote == ClaimVote::Granted ? 1 : 0;
        taken = taken || vote == ClaimVote::Taken;
    }
    if (granted >= m_majority)
        m_result = ClaimResult::Granted;
    else if (granted + outstanding < m_majority)
        m_result = taken ? ClaimResult::Taken : ClaimResult::NoMajority;
}

std::optional<ClaimResult> ClaimRound::result() const
{
    if (m_result)
        return m_result;
    if (m_clock.now() - m_startTime < m_options.roundTimeout)
        return std::nullopt;
    const auto taken = std::any_of(m_votes.begin(), m_votes.end(), [](const auto& entry) { return entry.second == ClaimVote::Taken; });
    return taken ? ClaimResult::Taken : ClaimResult::NoMajority;
}

} // namespace clementinesill::requests

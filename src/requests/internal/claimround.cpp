#include "requests/claimround.h"

#include "requests/claimholders.h"

#include <algorithm>

namespace clementinesill::requests {

ClaimRound::ClaimRound(std::span<const std::uint32_t> holders, const ClaimOptions& options, const IClock& clock)
    : m_options(options)
    , m_clock(clock)
    , m_begin(clock.now())
    , m_majority(claimMajority(holders.size()))
{
    for (const auto holder : holders)
        m_votes.emplace(holder, std::nullopt);
}

void ClaimRound::onBallot(std::uint32_t holder, const ClaimBallot& ballot)
{
    const auto found = m_votes.find(holder);
    if (verdict() || found == m_votes.end() || found->second)
        return;
    found->second = ballot.vote;
    m_majority = std::max(m_majority, ballot.majority);
    decide();
}

void ClaimRound::decide()
{
    std::uint32_t granted = 0;
    std::uint32_t open = 0;
    bool taken = false;
    for (const auto& [holder, vote] : m_votes) {
        open += vote ? 0 : 1;
        granted += vote == ClaimVote::Granted ? 1 : 0;
        taken = taken || vote == ClaimVote::Taken;
    }
    if (granted >= m_majority)
        m_verdict = ClaimVerdict::Granted;
    else if (granted + open < m_majority)
        m_verdict = taken ? ClaimVerdict::Taken : ClaimVerdict::NoMajority;
}

std::optional<ClaimVerdict> ClaimRound::verdict() const
{
    if (m_verdict)
        return m_verdict;
    if (m_clock.now() - m_begin < m_options.roundTimeout)
        return std::nullopt;
    const auto taken = std::any_of(m_votes.begin(), m_votes.end(), [](const auto& entry) { return entry.second == ClaimVote::Taken; });
    return taken ? ClaimVerdict::Taken : ClaimVerdict::NoMajority;
}

} // namespace clementinesill::requests

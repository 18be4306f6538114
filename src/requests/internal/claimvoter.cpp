#include "requests/claimvoter.h"

#include "requests/claimvoters.h"

#include <algorithm>

namespace clementinesill::requests {

ClaimVoter::ClaimVoter(std::uint32_t server, const ClaimOptions& options, const IClock& clock)
    : m_server(server)
    , m_options(options)
    , m_clock(clock)
    , m_startTime(clock.now())
    , m_lastViewTime(clock.now())
{
}

void ClaimVoter::onView(std::vector<std::uint32_t> servers)
{
    m_lastViewTime = m_clock.now();
    std::sort(servers.begin(), servers.end());
    if (m_views.empty() || m_views.back().servers != servers)
        m_views.push_back({ m_lastViewTime, std::move(servers) });
    removeOldViews();
}

// Keeps the view that was in force at the start of the abstention period, and all later ones.
void ClaimVoter::removeOldViews()
{
    const auto oldest = m_clock.now() - m_options.abstentionPeriod();
    while (m_views.size() > 1 && m_views[1].since <= oldest)
        m_views.pop_front();
}

bool ClaimVoter::canVote() const
{
    const auto now = m_clock.now();
    return now - m_startTime >= m_options.abstentionPeriod() && now - m_lastViewTime <= m_options.maxViewDelay;
}

bool ClaimVoter::wasVoterThroughout(std::string_view key, std::uint32_t& majority) const
{
    majority = 0;
    for (const auto& view : m_views) {
        const auto voters = claimVoters(key, view.servers);
        if (std::find(voters.begin(), voters.end(), m_server) == voters.end())
            return false;
        // A claim from a view with more voters can only be detected by a majority of that view's size.
        majority = std::max(majority, claimMajority(voters.size()));
    }
    return majority > 0;
}

ClaimResponse ClaimVoter::vote(std::string_view key, const ClaimId& claim)
{
    removeExpired();
    removeOldViews();
    const std::string name(key);
    ClaimResponse response;
    const auto found = m_claims.find(name);
    // A known claim is reported even if this voter has to abstain.
    if (found != m_claims.end() && found->second.id != claim) {
        response.vote = ClaimVote::Taken;
        return response;
    }
    if (!canVote() || !wasVoterThroughout(key, response.majority))
        return response;
    if (found == m_claims.end()) {
        // A grant stays in m_grantOrder until it expires, even if it was released.
        if (m_grantOrder.size() >= m_options.maxClaims)
            return response;
        const auto expires = m_clock.now() + m_options.lifetime;
        m_claims.emplace(name, Claim { claim, expires });
        m_grantOrder.emplace_back(expires, name);
    }
    response.vote = ClaimVote::Granted;
    return response;
}

void ClaimVoter::release(std::string_view key, const ClaimId& claim)
{
    const auto found = m_claims.find(std::string(key));
    if (found != m_claims.end() && found->second.id == claim)
        m_claims.erase(found);
}

void ClaimVoter::removeExpired()
{
    const auto now = m_clock.now();
    while (!m_grantOrder.empty() && m_grantOrder.front().first <= now) {
        const auto found = m_claims.find(m_grantOrder.front().second);
        if (found != m_claims.end() && found->second.expires <= now)
            m_claims.erase(found);
        m_grantOrder.pop_front();
    }
}

} // namespace clementinesill::requests

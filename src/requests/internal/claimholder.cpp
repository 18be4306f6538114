#include "requests/claimholder.h"

#include "requests/claimholders.h"

#include <algorithm>

namespace clementinesill::requests {

ClaimHolder::ClaimHolder(std::uint32_t server, const ClaimOptions& options, const IClock& clock)
    : m_server(server)
    , m_options(options)
    , m_clock(clock)
    , m_begin(clock.now())
    , m_confirmed(clock.now())
{
}

void ClaimHolder::onView(std::vector<std::uint32_t> servers)
{
    m_confirmed = m_clock.now();
    std::sort(servers.begin(), servers.end());
    if (m_views.empty() || m_views.back().servers != servers)
        m_views.push_back({ m_confirmed, std::move(servers) });
    forgetViews();
}

// Keeps the view that was in force at the begin of the abstention time, and the later ones.
void ClaimHolder::forgetViews()
{
    const auto oldest = m_clock.now() - m_options.abstention();
    while (m_views.size() > 1 && m_views[1].since <= oldest)
        m_views.pop_front();
}

bool ClaimHolder::isCurrent() const
{
    const auto now = m_clock.now();
    return now - m_begin >= m_options.abstention() && now - m_confirmed <= m_options.viewLag;
}

bool ClaimHolder::heldThroughout(std::string_view key, std::uint32_t& majority) const
{
    majority = 0;
    for (const auto& view : m_views) {
        const auto holders = claimHolders(key, view.servers);
        if (std::find(holders.begin(), holders.end(), m_server) == holders.end())
            return false;
        // A claim of the time with more holders is met only by a majority of that size.
        majority = std::max(majority, claimMajority(holders.size()));
    }
    return majority > 0;
}

ClaimBallot ClaimHolder::vote(std::string_view key, const ClaimId& claim)
{
    forgetExpired();
    forgetViews();
    const std::string name(key);
    ClaimBallot ballot;
    const auto found = m_claims.find(name);
    // A known claim is reported whether or not this holder may vote.
    if (found != m_claims.end() && found->second.id != claim) {
        ballot.vote = ClaimVote::Taken;
        return ballot;
    }
    if (!isCurrent() || !heldThroughout(key, ballot.majority))
        return ballot;
    if (found == m_claims.end()) {
        // Every grant stays in the order until it expires, released or not.
        if (m_order.size() >= m_options.claims)
            return ballot;
        const auto expires = m_clock.now() + m_options.lifetime;
        m_claims.emplace(name, Claim { claim, expires });
        m_order.emplace_back(expires, name);
    }
    ballot.vote = ClaimVote::Granted;
    return ballot;
}

void ClaimHolder::release(std::string_view key, const ClaimId& claim)
{
    const auto found = m_claims.find(std::string(key));
    if (found != m_claims.end() && found->second.id == claim)
        m_claims.erase(found);
}

void ClaimHolder::forgetExpired()
{
    const auto now = m_clock.now();
    while (!m_order.empty() && m_order.front().first <= now) {
        const auto found = m_claims.find(m_order.front().second);
        if (found != m_claims.end() && found->second.expires <= now)
            m_claims.erase(found);
        m_order.pop_front();
    }
}

} // namespace clementinesill::requests

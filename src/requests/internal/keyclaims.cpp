#include "requests/keyclaims.h"

#include "requests/claimround.h"
#include "requests/claimvoters.h"
#include "requests/iclaimtransport.h"
#include "requests/internal/signal.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace clementinesill::requests {

// Shared by the claim and its vote requests, because late responses arrive after the claim has ended.
struct KeyClaims::Round {
    std::string key;
    ClaimId id;
    ClaimRound votes;
    Signal decided;
};

KeyClaims::KeyClaims(std::uint32_t server, std::uint32_t incarnation, const ClaimOptions& options, IClaimTransport& transport, const IClock& clock, boost::asio::any_io_executor executor)
    : m_server(server)
    , m_incarnation(incarnation)
    , m_options(options)
    , m_transport(transport)
    , m_clock(clock)
    , m_executor(executor)
    , m_nextCleanup(clock.now() + options.lifetime)
{
}

boost::asio::awaitable<ClaimResult> KeyClaims::claim(std::string key, std::uint64_t)
{
    removeExpired();
    const auto voters = claimVoters(key, m_servers);
    ++m_lastClaimNumber;
    const ClaimId id { .server = m_server, .incarnation = m_incarnation, .number = m_lastClaimNumber };
    const auto startTime = m_clock.now();
    const auto round = std::make_shared<Round>(Round { key, id, ClaimRound(voters, m_options, m_clock), Signal(m_executor) });
    for (const auto voter : voters)
        boost::asio::co_spawn(m_executor, requestVote(round, voter), boost::asio::detached);
    // Waits only if the round is undecided: a notification sent before the wait is lost.
    if (!voters.empty() && !round->votes.result())
        co_await round->decided.wait(m_options.roundTimeout);
    const auto result = round->votes.result().value_or(ClaimResult::NoMajority);
    if (result == ClaimResult::Granted)
        m_granted.insert_or_assign(key, Granted { id, voters, startTime + m_options.lifetime });
    else
        sendRelease(voters, key, id);
    co_return result;
}

boost::asio::awaitable<void> KeyClaims::requestVote(std::shared_ptr<Round> round, std::uint32_t voter)
{
    const auto response = co_await m_transport.requestVote(voter, round->key, round->id);
    if (!response)
        co_return;
    round->votes.onResponse(voter, *response);
    if (round->votes.result())
        round->decided.notify();
}

void KeyClaims::release(const std::string& key)
{
    const auto found = m_granted.find(key);
    if (found == m_granted.end())
        return;
    sendRelease(found->second.voters, key, found->second.id);
    m_granted.erase(found);
}

void KeyClaims::sendRelease(const std::vector<std::uint32_t>& voters, const std::string& key, const ClaimId& id)
{
    for (const auto voter : voters)
        m_transport.release(voter, key, id);
}

void KeyClaims::removeExpired()
{
    const auto now = m_clock.now();
    if (now < m_nextCleanup)
        return;
    m_nextCleanup = now + m_options.lifetime;
    std::erase_if(m_granted, [now](const auto& entry) { return entry.second.expires <= now; });
}

} // namespace clementinesill::requests

#include "requests/keyclaims.h"

#include "requests/claimholders.h"
#include "requests/claimround.h"
#include "requests/iclaimtransport.h"
#include "requests/internal/signal.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace clementinesill::requests {

// Shared by the claim and the tasks that ask, as late answers come after its end.
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
    , m_nextCleaning(clock.now() + options.lifetime)
{
}

boost::asio::awaitable<ClaimVerdict> KeyClaims::claim(std::string key, std::uint64_t)
{
    forgetExpired();
    const auto holders = claimHolders(key, m_servers);
    ++m_lastNumber;
    const ClaimId id { .server = m_server, .incarnation = m_incarnation, .number = m_lastNumber };
    const auto begin = m_clock.now();
    const auto round = std::make_shared<Round>(Round { key, id, ClaimRound(holders, m_options, m_clock), Signal(m_executor) });
    for (const auto holder : holders)
        boost::asio::co_spawn(m_executor, ask(round, holder), boost::asio::detached);
    // Votes that are there already have woken nobody.
    if (!holders.empty() && !round->votes.verdict())
        co_await round->decided.wait(m_options.roundTimeout);
    const auto verdict = round->votes.verdict().value_or(ClaimVerdict::NoMajority);
    if (verdict == ClaimVerdict::Granted)
        m_granted.insert_or_assign(key, Granted { id, holders, begin + m_options.lifetime });
    else
        releaseAt(holders, key, id);
    co_return verdict;
}

boost::asio::awaitable<void> KeyClaims::ask(std::shared_ptr<Round> round, std::uint32_t holder)
{
    const auto ballot = co_await m_transport.ask(holder, round->key, round->id);
    if (!ballot)
        co_return;
    round->votes.onBallot(holder, *ballot);
    if (round->votes.verdict())
        round->decided.notify();
}

void KeyClaims::release(const std::string& key)
{
    const auto found = m_granted.find(key);
    if (found == m_granted.end())
        return;
    releaseAt(found->second.holders, key, found->second.id);
    m_granted.erase(found);
}

void KeyClaims::releaseAt(const std::vector<std::uint32_t>& holders, const std::string& key, const ClaimId& id)
{
    for (const auto holder : holders)
        m_transport.release(holder, key, id);
}

void KeyClaims::forgetExpired()
{
    const auto now = m_clock.now();
    if (now < m_nextCleaning)
        return;
    m_nextCleaning = now + m_options.lifetime;
    std::erase_if(m_granted, [now](const auto& entry) { return entry.second.expires <= now; });
}

} // namespace clementinesill::requests

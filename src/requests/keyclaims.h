#pragma once

#include "requests/ikeyclaims.h"
#include "requests/types/claimoptions.h"
#include "requests/types/keyclaim.h"

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <unordered_map>
#include <vector>

namespace clementinesill::requests {

class IClaimTransport;

// This agent's side as a claimant: asks a key's holders and counts their votes.
class KeyClaims final : public IKeyClaims {
public:
    // server, incarnation: this agent. transport, clock and executor outlive it, and it outlives every claim.
    KeyClaims(std::uint32_t server, std::uint32_t incarnation, const ClaimOptions& options, IClaimTransport& transport, const IClock& clock, boost::asio::any_io_executor executor);

    // Ids of the service's agents, this one included. Without them nothing is granted.
    void onView(std::vector<std::uint32_t> servers) { m_servers = std::move(servers); }

    boost::asio::awaitable<ClaimVerdict> claim(std::string key, std::uint64_t fingerprint) override;
    void release(const std::string& key) override;

private:
    struct Round;
    struct Granted {
        ClaimId id;
        std::vector<std::uint32_t> holders;
        MonotonicTime expires;
    };

    boost::asio::awaitable<void> ask(std::shared_ptr<Round> round, std::uint32_t holder);
    void releaseAt(const std::vector<std::uint32_t>& holders, const std::string& key, const ClaimId& id);
    void forgetExpired();

    std::uint32_t m_server;
    std::uint32_t m_incarnation;
    ClaimOptions m_options;
    IClaimTransport& m_transport;
    const IClock& m_clock;
    boost::asio::any_io_executor m_executor;
    std::vector<std::uint32_t> m_servers;
    // Granted keys that may still be released.
    std::unordered_map<std::string, Granted> m_granted;
    MonotonicTime m_nextCleaning;
    std::uint64_t m_lastNumber = 0;
};

} // namespace clementinesill::requests

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

// Claims keys for this agent: requests votes from a key's voters and counts them.
class KeyClaims final : public IKeyClaims {
public:
    // server, incarnation: this agent. transport, clock and executor must outlive the object, and the object must
    // outlive every call of claim.
    KeyClaims(std::uint32_t server, std::uint32_t incarnation, const ClaimOptions& options, IClaimTransport& transport, const IClock& clock, boost::asio::any_io_executor executor);

    // Sets the ids of the service's agents, including this one. No claim is granted before the first call.
    void onView(std::vector<std::uint32_t> servers) { m_servers = std::move(servers); }

    boost::asio::awaitable<ClaimResult> claim(std::string key, std::uint64_t fingerprint) override;
    void release(const std::string& key) override;

private:
    struct Round;
    struct Granted {
        ClaimId id;
        std::vector<std::uint32_t> voters;
        MonotonicTime expires;
    };

    boost::asio::awaitable<void> requestVote(std::shared_ptr<Round> round, std::uint32_t voter);
    void sendRelease(const std::vector<std::uint32_t>& voters, const std::string& key, const ClaimId& id);
    void removeExpired();

    std::uint32_t m_server;
    std::uint32_t m_incarnation;
    ClaimOptions m_options;
    IClaimTransport& m_transport;
    const IClock& m_clock;
    boost::asio::any_io_executor m_executor;
    std::vector<std::uint32_t> m_servers;
    // Granted keys that may still be released.
    std::unordered_map<std::string, Granted> m_granted;
    MonotonicTime m_nextCleanup;
    std::uint64_t m_lastClaimNumber = 0;
};

} // namespace clementinesill::requests

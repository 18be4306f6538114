#pragma once

#include "requests/types/keyclaim.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace clementinesill::requests {

// Sends claims to the key's voters. Messages may be lost, duplicated or delayed.
class IClaimTransport {
public:
    virtual ~IClaimTransport() = default;

    // Requests a vote; empty if there is no response within the round timeout. Does not throw.
    virtual boost::asio::awaitable<std::optional<ClaimResponse>> requestVote(std::uint32_t voter, std::string key, ClaimId claim) = 0;

    // Notifies a voter that the claim has ended; there is no response.
    virtual void release(std::uint32_t voter, const std::string& key, const ClaimId& claim) = 0;
};

} // namespace clementinesill::requests

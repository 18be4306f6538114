#pragma once

#include "requests/types/keyclaim.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace clementinesill::requests {

// Carries claims to their holders. Messages may be lost, repeated and late.
class IClaimTransport {
public:
    virtual ~IClaimTransport() = default;

    // Asks for a holder's vote; empty without an answer within the round timeout. Does not throw.
    virtual boost::asio::awaitable<std::optional<ClaimBallot>> ask(std::uint32_t holder, std::string key, ClaimId claim) = 0;

    // Tells a holder that the claim is over; needs no answer.
    virtual void release(std::uint32_t holder, const std::string& key, const ClaimId& claim) = 0;
};

} // namespace clementinesill::requests

#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>

namespace clementinesill::requests {

enum class ClaimResult {
    // Only this agent may run the key's request.
    Granted,
    // The key is granted to another claim, whose request is running, ran or may have run.
    Taken,
    // Too few voters responded to decide.
    NoMajority,
};

// Ensures that at most one agent of a service runs the request of an idempotency key.
class IKeyClaims {
public:
    virtual ~IKeyClaims() = default;

    // fingerprint: hash of the request without its body. Returns within the round timeout and does not throw.
    virtual boost::asio::awaitable<ClaimResult> claim(std::string key, std::uint64_t fingerprint) = 0;

    // Frees a granted key whose request was not run.
    virtual void release(const std::string& key) = 0;
};

} // namespace clementinesill::requests

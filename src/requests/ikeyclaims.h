#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>

namespace clementinesill::requests {

enum class ClaimVerdict {
    // This agent alone may run the key's request.
    Granted,
    // Another claim holds the key: its request runs, ran or may have run.
    Taken,
    // Too few holders answered to tell.
    NoMajority,
};

// Claims idempotency keys among the agents of one service.
class IKeyClaims {
public:
    virtual ~IKeyClaims() = default;

    // fingerprint: hash of the request without its body. Returns within a bounded time and does not throw.
    virtual boost::asio::awaitable<ClaimVerdict> claim(std::string key, std::uint64_t fingerprint) = 0;

    // Frees a granted key whose request was not run.
    virtual void release(const std::string& key) = 0;
};

} // namespace clementinesill::requests

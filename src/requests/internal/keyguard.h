#pragma once

#include "foundation/hash.h"
#include "requests/internal/httprules.h"
#include "requests/internal/proxystate.h"

#include <memory>

namespace clementinesill::requests {

// RAII guard of one request's idempotency key. The destructor releases the key, or marks its outcome as unknown if the
// request may have run without a complete response.
class KeyGuard {
public:
    KeyGuard(ProxyState& proxy, const RequestHeader& header);
    ~KeyGuard();
    KeyGuard(const KeyGuard&) = delete;
    KeyGuard& operator=(const KeyGuard&) = delete;

    const std::string& key() const { return m_key; }
    std::uint64_t fingerprint() const { return m_fingerprint; }

    KeyLookupResult begin();

    // Removes the key from this agent's store only, because the key is granted to another agent.
    void releaseLocally();

    void addBody(std::string_view part);
    BodyDigest digest() const;

    void addResponseHeader(const ResponseHeader& header);
    void addResponseBody(std::string_view part);

    // The server's complete response was read.
    void onResponseComplete();

    // Must be called before the request is written to the server. The key is then released only if the server rejects the
    // request.
    void onSent() { m_mayHaveRun = true; }

private:
    struct FreeHash {
        void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
    };

    ProxyState& m_proxy;
    std::string m_key;
    std::uint64_t m_fingerprint;
    std::unique_ptr<XXH3_state_t, FreeHash> m_hash;
    std::uint64_t m_bodySize = 0;
    std::optional<StoredResponse> m_response;
    bool m_running = false;
    bool m_mayHaveRun = false;
};

} // namespace clementinesill::requests

#pragma once

#include "foundation/hash.h"
#include "requests/internal/gatestate.h"
#include "requests/internal/httprules.h"

#include <memory>

namespace clementinesill::requests {

// One request's hold on its idempotency key: the key is ended in the store whatever becomes of the request.
class KeyGuard {
public:
    KeyGuard(GateState& gate, const RequestHeader& header);
    ~KeyGuard();
    KeyGuard(const KeyGuard&) = delete;
    KeyGuard& operator=(const KeyGuard&) = delete;

    const std::string& key() const { return m_key; }
    std::uint64_t fingerprint() const { return m_fingerprint; }

    KeyVerdict begin();

    // Another agent has the key: this one forgets it without telling the holders.
    void forget();

    void addBody(std::string_view part);
    BodyDigest digest() const;

    void addAnswerHeader(const AnswerHeader& header);
    void addAnswerBody(std::string_view part);

    // The server's whole answer was read.
    void onAnswered();

    // Called before the request may reach the server: from now on the key is not released.
    void onHandedOver() { m_handedOver = true; }

private:
    struct FreeHash {
        void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
    };

    GateState& m_gate;
    std::string m_key;
    std::uint64_t m_fingerprint;
    std::unique_ptr<XXH3_state_t, FreeHash> m_hash;
    std::uint64_t m_bodySize = 0;
    std::optional<StoredAnswer> m_answer;
    bool m_running = false;
    bool m_handedOver = false;
};

} // namespace clementinesill::requests

#pragma once

#include "requests/types/bodydigest.h"
#include "requests/types/keystoreoptions.h"
#include "requests/types/storedresponse.h"

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace clementinesill::requests {

// State of an idempotency key when a request with the key arrives.
enum class KeyLookupResult {
    // First request of the key: run it, then call markCompleted, markUnknown or release.
    New,
    // The first request is still running.
    InProgress,
    // The first request ran and its response is stored; the bodies are not compared yet.
    ResponseStored,
    // The first request ran, but its response was too large to store or was dropped.
    ResponseDropped,
    // The first request may have run.
    OutcomeUnknown,
    // The key belongs to a different request.
    Mismatch,
    // The store has no room for another key.
    StoreFull,
};

// Stores idempotency keys, so that a request that ran or is running is not run again.
//
// A key is removed only after its retention. A full store rejects new keys, because evicting an old key could let its
// request run twice.
class KeyStore {
public:
    KeyStore(const KeyStoreOptions& options, const IClock& clock);

    // fingerprint: hash of the request without its body.
    KeyLookupResult begin(std::string_view key, std::uint64_t fingerprint);

    // The request ran. response: empty if it cannot be stored.
    void markCompleted(std::string_view key, const BodyDigest& body, std::optional<StoredResponse> response);

    // The request may have run.
    void markUnknown(std::string_view key);

    // The request was not run: removes the key.
    void release(std::string_view key);

    // Returns the stored response if the body equals that of the first request, or else null.
    const StoredResponse* findResponse(std::string_view key, const BodyDigest& body) const;

    std::size_t size() const { return m_entries.size(); }
    std::size_t responseBytes() const { return m_responseBytes; }
    const KeyStoreOptions& options() const { return m_options; }

private:
    enum class State {
        InProgress,
        Completed,
        Unknown,
    };
    struct Entry {
        std::uint64_t fingerprint = 0;
        State state = State::InProgress;
        BodyDigest body;
        std::optional<StoredResponse> response;
        MonotonicTime expires = MonotonicTime::max();
    };

    void finish(const std::string& key, Entry& entry, State state);
    void removeExpired();
    void dropOldestResponses();
    void dropResponse(Entry& entry);

    KeyStoreOptions m_options;
    const IClock& m_clock;
    std::unordered_map<std::string, Entry> m_entries;
    // Keys in the order in which their requests ended.
    std::list<std::string> m_endOrder;
    // Keys with a stored response, oldest first.
    std::list<std::string> m_responseOrder;
    std::size_t m_responseBytes = 0;
};

} // namespace clementinesill::requests

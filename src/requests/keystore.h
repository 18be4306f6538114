#pragma once

#include "requests/types/bodydigest.h"
#include "requests/types/keystoreoptions.h"
#include "requests/types/storedanswer.h"

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace clementinesill::requests {

// What is to be done with a request that names an idempotency key.
enum class KeyVerdict {
    // First of its key: run it, then end it by answered, unknown or release.
    Run,
    // The first request is still running.
    Running,
    // It ran and its answer is stored; the body is still to be compared.
    Stored,
    // It ran, but its answer was too large to store or was dropped.
    AnswerGone,
    // It may have run; nobody knows.
    Unknown,
    // The key belongs to a different request.
    Mismatch,
    // Too many keys are remembered to take another.
    Full,
};

// Remembers idempotency keys, so that a request that ran or is running is not run again.
//
// A key is forgotten only after its retention: without room for another key the new one is refused, as
// forgetting an old one could run its request twice.
class KeyStore {
public:
    KeyStore(const KeyStoreOptions& options, const IClock& clock);

    // fingerprint: hash of the request without its body.
    KeyVerdict begin(std::string_view key, std::uint64_t fingerprint);

    // The request ran; `answer` is empty if it cannot be stored.
    void answered(std::string_view key, const BodyDigest& body, std::optional<StoredAnswer> answer);

    // The request may have run.
    void unknown(std::string_view key);

    // The request was not run: the key is free again.
    void release(std::string_view key);

    // Stored answer if the body is that of the first request; null otherwise.
    const StoredAnswer* stored(std::string_view key, const BodyDigest& body) const;

    std::size_t size() const { return m_entries.size(); }
    std::size_t answerBytes() const { return m_answerBytes; }
    const KeyStoreOptions& options() const { return m_options; }

private:
    enum class State {
        Running,
        Answered,
        Unknown,
    };
    struct Entry {
        std::uint64_t fingerprint = 0;
        State state = State::Running;
        BodyDigest body;
        std::optional<StoredAnswer> answer;
        MonotonicTime expires = MonotonicTime::max();
    };

    void end(const std::string& key, Entry& entry, State state);
    void forgetExpired();
    void dropOldestAnswers();
    void dropAnswer(Entry& entry);

    KeyStoreOptions m_options;
    const IClock& m_clock;
    std::unordered_map<std::string, Entry> m_entries;
    // Keys in the order in which their requests ended.
    std::list<std::string> m_ended;
    // Keys with a stored answer, oldest first.
    std::list<std::string> m_withAnswer;
    std::size_t m_answerBytes = 0;
};

} // namespace clementinesill::requests

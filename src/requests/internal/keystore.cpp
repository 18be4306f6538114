#include "requests/keystore.h"

namespace clementinesill::requests {

KeyStore::KeyStore(const KeyStoreOptions& options, const IClock& clock)
    : m_options(options)
    , m_clock(clock)
{
}

KeyLookupResult KeyStore::begin(std::string_view key, std::uint64_t fingerprint)
{
    removeExpired();
    const std::string keyString(key);
    const auto found = m_entries.find(keyString);
    if (found == m_entries.end()) {
        if (m_entries.size() >= m_options.maxKeys)
            return KeyLookupResult::StoreFull;
        m_entries.emplace(keyString, Entry { .fingerprint = fingerprint });
        return KeyLookupResult::New;
    }
    const auto& entry = found->second;
    if (entry.fingerprint != fingerprint)
        return KeyLookupResult::Mismatch;
    switch (entry.state) {
    case State::InProgress:
        return KeyLookupResult::InProgress;
    case State::Completed:
        return entry.response ? KeyLookupResult::ResponseStored : KeyLookupResult::ResponseDropped;
    case State::Unknown:
        break;
    }
    return KeyLookupResult::OutcomeUnknown;
}

void KeyStore::markCompleted(std::string_view key, const BodyDigest& body, std::optional<StoredResponse> response)
{
    const std::string keyString(key);
    const auto found = m_entries.find(keyString);
    if (found == m_entries.end() || found->second.state != State::InProgress)
        return;
    auto& entry = found->second;
    entry.body = body;
    finish(keyString, entry, State::Completed);
    if (!response || response->size() > m_options.maxResponseBytes)
        return;
    m_responseBytes += response->size();
    entry.response = std::move(response);
    m_responseOrder.push_back(keyString);
    dropOldestResponses();
}

void KeyStore::markUnknown(std::string_view key)
{
    const std::string keyString(key);
    const auto found = m_entries.find(keyString);
    if (found != m_entries.end() && found->second.state == State::InProgress)
        finish(keyString, found->second, State::Unknown);
}

void KeyStore::release(std::string_view key)
{
    const auto found = m_entries.find(std::string(key));
    if (found != m_entries.end() && found->second.state == State::InProgress)
        m_entries.erase(found);
}

const StoredResponse* KeyStore::findResponse(std::string_view key, const BodyDigest& body) const
{
    const auto found = m_entries.find(std::string(key));
    if (found == m_entries.end() || !found->second.response || found->second.body != body)
        return nullptr;
    return &*found->second.response;
}

void KeyStore::finish(const std::string& key, Entry& entry, State state)
{
    entry.state = state;
    entry.expires = m_clock.now() + m_options.retention;
    m_endOrder.push_back(key);
}

void KeyStore::removeExpired()
{
    const auto now = m_clock.now();
    while (!m_endOrder.empty()) {
        const auto found = m_entries.find(m_endOrder.front());
        if (found->second.expires > now)
            return;
        // Responses are stored in the order in which requests end, so this one is the oldest.
        if (found->second.response)
            m_responseOrder.pop_front();
        dropResponse(found->second);
        m_entries.erase(found);
        m_endOrder.pop_front();
    }
}

void KeyStore::dropOldestResponses()
{
    while (m_responseBytes > m_options.maxTotalResponseBytes) {
        const auto found = m_entries.find(m_responseOrder.front());
        m_responseOrder.pop_front();
        dropResponse(found->second);
    }
}

void KeyStore::dropResponse(Entry& entry)
{
    if (!entry.response)
        return;
    m_responseBytes -= entry.response->size();
    entry.response.reset();
}

} // namespace clementinesill::requests

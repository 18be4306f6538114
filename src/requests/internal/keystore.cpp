#include "requests/keystore.h"

namespace clementinesill::requests {

KeyStore::KeyStore(const KeyStoreOptions& options, const IClock& clock)
    : m_options(options)
    , m_clock(clock)
{
}

KeyVerdict KeyStore::begin(std::string_view key, std::uint64_t fingerprint)
{
    forgetExpired();
    const std::string name(key);
    const auto found = m_entries.find(name);
    if (found == m_entries.end()) {
        if (m_entries.size() >= m_options.keys)
            return KeyVerdict::Full;
        m_entries.emplace(name, Entry { .fingerprint = fingerprint });
        return KeyVerdict::Run;
    }
    const auto& entry = found->second;
    if (entry.fingerprint != fingerprint)
        return KeyVerdict::Mismatch;
    switch (entry.state) {
    case State::Running:
        return KeyVerdict::Running;
    case State::Answered:
        return entry.answer ? KeyVerdict::Stored : KeyVerdict::AnswerGone;
    case State::Unknown:
        break;
    }
    return KeyVerdict::Unknown;
}

void KeyStore::answered(std::string_view key, const BodyDigest& body, std::optional<StoredAnswer> answer)
{
    const std::string name(key);
    const auto found = m_entries.find(name);
    if (found == m_entries.end() || found->second.state != State::Running)
        return;
    auto& entry = found->second;
    entry.body = body;
    end(name, entry, State::Answered);
    if (!answer || answer->size() > m_options.answerBytes)
        return;
    m_answerBytes += answer->size();
    entry.answer = std::move(answer);
    m_withAnswer.push_back(name);
    dropOldestAnswers();
}

void KeyStore::unknown(std::string_view key)
{
    const std::string name(key);
    const auto found = m_entries.find(name);
    if (found != m_entries.end() && found->second.state == State::Running)
        end(name, found->second, State::Unknown);
}

void KeyStore::release(std::string_view key)
{
    const auto found = m_entries.find(std::string(key));
    if (found != m_entries.end() && found->second.state == State::Running)
        m_entries.erase(found);
}

const StoredAnswer* KeyStore::stored(std::string_view key, const BodyDigest& body) const
{
    const auto found = m_entries.find(std::string(key));
    if (found == m_entries.end() || !found->second.answer || found->second.body != body)
        return nullptr;
    return &*found->second.answer;
}

void KeyStore::end(const std::string& key, Entry& entry, State state)
{
    entry.state = state;
    entry.expires = m_clock.now() + m_options.retention;
    m_ended.push_back(key);
}

void KeyStore::forgetExpired()
{
    const auto now = m_clock.now();
    while (!m_ended.empty()) {
        const auto found = m_entries.find(m_ended.front());
        if (found->second.expires > now)
            return;
        // Answers were stored in the order of ends, so this one is the oldest.
        if (found->second.answer)
            m_withAnswer.pop_front();
        dropAnswer(found->second);
        m_entries.erase(found);
        m_ended.pop_front();
    }
}

void KeyStore::dropOldestAnswers()
{
    while (m_answerBytes > m_options.totalAnswerBytes) {
        const auto found = m_entries.find(m_withAnswer.front());
        m_withAnswer.pop_front();
        dropAnswer(found->second);
    }
}

void KeyStore::dropAnswer(Entry& entry)
{
    if (!entry.answer)
        return;
    m_answerBytes -= entry.answer->size();
    entry.answer.reset();
}

} // namespace clementinesill::requests

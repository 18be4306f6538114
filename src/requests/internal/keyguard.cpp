#include "requests/internal/keyguard.h"

#include "foundation/hash.h"
#include "requests/ikeyclaims.h"

namespace clementinesill::requests {

namespace http = boost::beast::http;

namespace {

std::string_view view(boost::beast::string_view text)
{
    return { text.data(), text.size() };
}

// Hash of what makes two requests the same but for their bodies, and of who sends them.
std::uint64_t hashRequest(const RequestHeader& header)
{
    std::string text(view(header.method_string()));
    for (const auto part : { view(header.target()), fieldValue(header, "Host"), fieldValue(header, "Authorization"),
             fieldValue(header, "Content-Type"), fieldValue(header, "Content-Length") }) {
        text += '\n';
        text += part;
    }
    return hash64(std::as_bytes(std::span(text)), 0);
}

// The server says itself that it refused the request and invites another try.
bool isRefusedByServer(const AnswerHeader& header)
{
    const auto shed = header.result() == http::status::service_unavailable || header.result() == http::status::too_many_requests;
    return shed && (header.count(http::field::retry_after) > 0 || fieldValue(header, outcomeField) == name(Outcome::NotRun));
}

} // namespace

KeyGuard::KeyGuard(GateState& gate, const RequestHeader& header)
    : m_gate(gate)
    , m_key(fieldValue(header, idempotencyKeyField))
    , m_fingerprint(hashRequest(header))
    , m_hash(XXH3_createState())
{
    XXH3_64bits_reset(m_hash.get());
}

KeyGuard::~KeyGuard()
{
    if (!m_running)
        return;
    if (m_handedOver) {
        m_gate.keys.unknown(m_key);
        return;
    }
    m_gate.keys.release(m_key);
    if (m_gate.claims)
        m_gate.claims->release(m_key);
}

KeyVerdict KeyGuard::begin()
{
    const auto verdict = m_gate.keys.begin(m_key, m_fingerprint);
    m_running = verdict == KeyVerdict::Run;
    return verdict;
}

void KeyGuard::forget()
{
    m_gate.keys.release(m_key);
    m_running = false;
}

void KeyGuard::addBody(std::string_view part)
{
    XXH3_64bits_update(m_hash.get(), part.data(), part.size());
    m_bodySize += part.size();
}

BodyDigest KeyGuard::digest() const
{
    return { m_bodySize, XXH3_64bits_digest(m_hash.get()) };
}

void KeyGuard::addAnswerHeader(const AnswerHeader& header)
{
    if (isRefusedByServer(header)) {
        m_handedOver = false;
        return;
    }
    m_answer.emplace();
    m_answer->status = header.result_int();
    for (const auto& field : header) {
        const auto framing = field.name() == http::field::content_length || field.name() == http::field::transfer_encoding;
        if (!framing && field.name() != http::field::connection)
            m_answer->fields.emplace_back(view(field.name_string()), view(field.value()));
    }
}

void KeyGuard::addAnswerBody(std::string_view part)
{
    if (!m_answer)
        return;
    if (m_answer->size() + part.size() > m_gate.keys.options().answerBytes)
        m_answer.reset();
    else
        m_answer->body += part;
}

void KeyGuard::onAnswered()
{
    if (!m_running || !m_handedOver)
        return;
    m_running = false;
    m_gate.keys.answered(m_key, digest(), std::move(m_answer));
}

} // namespace clementinesill::requests

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

// Hash of the parts of the header that identify a request and its sender; the body is compared separately.
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

// Whether the server declared that it did not run the request and that it may be retried.
bool isRejectedByServer(const ResponseHeader& header)
{
    const auto rejected = header.result() == http::status::service_unavailable || header.result() == http::status::too_many_requests;
    return rejected && (header.count(http::field::retry_after) > 0 || fieldValue(header, outcomeField) == name(Outcome::NotRun));
}

} // namespace

KeyGuard::KeyGuard(ProxyState& proxy, const RequestHeader& header)
    : m_proxy(proxy)
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
    if (m_mayHaveRun) {
        m_proxy.keyStore.markUnknown(m_key);
        return;
    }
    m_proxy.keyStore.release(m_key);
    if (m_proxy.claims)
        m_proxy.claims->release(m_key);
}

KeyLookupResult KeyGuard::begin()
{
    const auto result = m_proxy.keyStore.begin(m_key, m_fingerprint);
    m_running = result == KeyLookupResult::New;
    return result;
}

void KeyGuard::releaseLocally()
{
    m_proxy.keyStore.release(m_key);
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

void KeyGuard::addResponseHeader(const ResponseHeader& header)
{
    if (isRejectedByServer(header)) {
        m_mayHaveRun = false;
        return;
    }
    m_response.emplace();
    m_response->status = header.result_int();
    for (const auto& field : header) {
        const auto framing = field.name() == http::field::content_length || field.name() == http::field::transfer_encoding;
        if (!framing && field.name() != http::field::connection)
            m_response->fields.emplace_back(view(field.name_string()), view(field.value()));
    }
}

void KeyGuard::addResponseBody(std::string_view part)
{
    if (!m_response)
        return;
    if (m_response->size() + part.size() > m_proxy.keyStore.options().maxResponseBytes)
        m_response.reset();
    else
        m_response->body += part;
}

void KeyGuard::onResponseComplete()
{
    if (!m_running || !m_mayHaveRun)
        return;
    m_running = false;
    m_proxy.keyStore.markCompleted(m_key, digest(), std::move(m_response));
}

} // namespace clementinesill::requests

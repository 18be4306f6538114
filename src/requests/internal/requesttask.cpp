#include "requests/internal/requesttask.h"

#include "foundation/histogram.h"
#include "foundation/log.h"
#include "foundation/metrics.h"
#include "requests/ikeyclaims.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <vector>

namespace clementinesill::requests {

namespace http = boost::beast::http;
using admission::RequestOutcome;

namespace {

// Response to a request that is not run because of its idempotency key, in the order of KeyLookupResult.
struct KeyResponse {
    std::string_view reason;
    http::status status;
    Outcome outcome;
    bool mayRetry;
    std::string_view message;
};

constexpr std::array<KeyResponse, 7> keyResponses { {
    { "", http::status::ok, Outcome::Completed, false, "" },
    { "key_running", http::status::conflict, Outcome::Unknown, true, "the first request of this Idempotency-Key is still running; send it again after the time in Retry-After" },
    { "", http::status::ok, Outcome::Completed, false, "" },
    { "key_answer_gone", http::status::conflict, Outcome::Unknown, false, "the request of this Idempotency-Key ran and its answer is no longer stored; read its effect instead" },
    { "key_unknown", http::status::conflict, Outcome::Unknown, false, "the request of this Idempotency-Key may have run; check its effect before sending it with another key" },
    { "key_mismatch", http::status::unprocessable_entity, Outcome::Unknown, false, "this attempt was not run: its Idempotency-Key belongs to a request with other content, which may have run; check its effect before sending a new key" },
    { "key_store_full", http::status::service_unavailable, Outcome::Unknown, true, "this attempt was not run: too many keys are remembered; an earlier one with this key may have run; if there was none, send it again with the same key after the time in Retry-After" },
} };

LocalResponse keyResponse(KeyLookupResult result)
{
    const auto& row = keyResponses[static_cast<std::size_t>(result)];
    LocalResponse response { .status = row.status, .outcome = row.outcome, .message = std::string(row.message) };
    if (row.mayRetry)
        response.retryAfter = failureRetryAfter;
    return response;
}

std::string_view reasonName(admission::AdmissionReason reason)
{
    static constexpr std::array<std::string_view, 8> names { "admitted", "draining", "zone_out", "connection_limit", "slot_limit",
        "warmup_limit", "queue_too_long", "server_unhealthy" };
    return names[static_cast<std::size_t>(reason)];
}

} // namespace

RequestTask::RequestTask(ProxyState& proxy, CallerInput& input, CallerOutput& output, RequestReader& reader, const CallerContext& context)
    : m_proxy(proxy)
    , m_input(input)
    , m_output(output)
    , m_reader(reader)
    , m_context(context)
    , m_header(reader.message())
    , m_class(classify(m_header))
    , m_id(proxy.tracker.begin())
    , m_startTime(proxy.clock.now())
    , m_bodyStopped(proxy.executor)
{
}

RequestTask::~RequestTask()
{
    m_input.setEndHandler({});
    m_proxy.tracker.end(m_id);
}

boost::asio::awaitable<bool> RequestTask::run()
{
    m_keepAlive = isKeepAlive(m_header) && !m_proxy.draining;
    const auto timeout = requestTimeout(m_header, m_proxy.options.requestTimeout);
    if (const auto headerError = checkRequest(m_header, m_proxy.options.limits)) {
        m_keepAlive = false;
        m_reason = "bad_request";
        const LocalResponse response { .status = headerError->status, .message = headerError->message };
        co_await reply(response);
    } else if (!timeout) {
        m_keepAlive = false;
        m_reason = "bad_request";
        const LocalResponse response { .status = http::status::bad_request, .message = "Request-Timeout-Ms is not a number; send milliseconds" };
        co_await reply(response);
    } else {
        m_hasCallerDeadline = *timeout < m_proxy.options.requestTimeout;
        m_deadline = m_startTime + *timeout;
        if (m_class == RequestClass::NonIdempotent && m_header.count(beastView(idempotencyKeyField)) > 0)
            co_await serveKeyed();
        else
            co_await admitAndExchange();
    }
    recordOutcome();
    co_return m_keepAlive&& m_reader.bodyDone() && !m_output.failed();
}

boost::asio::awaitable<void> RequestTask::serveKeyed()
{
    m_key.emplace(m_proxy, m_header);
    const auto size = m_key->key().size();
    if (size == 0 || size > m_proxy.options.keyStore.maxKeyBytes) {
        m_reason = "bad_request";
        const LocalResponse response { .status = http::status::bad_request, .message = "Idempotency-Key empty or too long; send 1 to 255 characters" };
        co_await reply(response);
        co_return;
    }
    const auto result = m_key->begin();
    if (result == KeyLookupResult::New) {
        co_await claimAndExchange();
        m_key.reset();
        co_return;
    }
    if (result == KeyLookupResult::ResponseStored) {
        co_await replayStored();
        co_return;
    }
    m_reason = keyResponses[static_cast<std::size_t>(result)].reason;
    const auto response = keyResponse(result);
    co_await reply(response);
}

boost::asio::awaitable<void> RequestTask::claimAndExchange()
{
    auto result = ClaimResult::Granted;
    if (m_proxy.claims)
        result = co_await m_proxy.claims->claim(m_key->key(), m_key->fingerprint());
    if (result == ClaimResult::Granted) {
        co_await admitAndExchange();
        co_return;
    }
    m_key->releaseLocally();
    auto response = keyResponse(KeyLookupResult::InProgress);
    m_reason = "key_taken";
    if (result == ClaimResult::NoMajority) {
        response = { .outcome = Outcome::Unknown, .retryAfter = failureRetryAfter, .message = "this attempt was not run: too few agents answered for its Idempotency-Key; send it again with the same key" };
        m_reason = "key_no_majority";
    }
    co_await reply(response);
}

// Replays the stored response only after the whole body was read and equals that of the first request.
boost::asio::awaitable<void> RequestTask::replayStored()
{
    if (expectsContinue(m_header) && !m_reader.bodyDone())
        co_await m_output.write("HTTP/1.1 100 Continue\r\n\r\n");
    std::vector<char> buffer(bodyBufferBytes);
    while (!m_reader.bodyDone()) {
        std::size_t size = 0;
        const auto result = co_await m_reader.readBody(buffer, size);
        if (result != ReadResult::Ok) {
            m_reason = "caller_broken";
            const LocalResponse response { .status = http::status::bad_request, .outcome = Outcome::Unknown, .message = "incomplete body; send the whole request again" };
            co_await reply(response);
            co_return;
        }
        m_key->addBody({ buffer.data(), size });
    }
    const auto* stored = m_proxy.keyStore.findResponse(m_key->key(), m_key->digest());
    if (!stored) {
        m_reason = keyResponses[static_cast<std::size_t>(KeyLookupResult::Mismatch)].reason;
        const auto response = keyResponse(KeyLookupResult::Mismatch);
        co_await reply(response);
        co_return;
    }
    const auto bytes = serialize(*stored, !m_keepAlive);
    const auto written = co_await m_output.write(bytes);
    m_outcome = written ? Outcome::Completed : Outcome::Truncated;
}

boost::asio::awaitable<void> RequestTask::admitAndExchange()
{
    m_proxy.retryBudget.onRequest();
    const auto kind = m_class == RequestClass::NonIdempotent ? admission::RequestKind::NonIdempotent : admission::RequestKind::Idempotent;
    const auto decision = co_await m_proxy.admitter.admit(kind, m_deadline);
    if (!decision.admitted()) {
        m_reason = reasonName(decision.reason);
        const auto response = rejection(decision);
        co_await reply(response);
        co_return;
    }
    m_admissionGuard.emplace(m_proxy.admitter, kind);
    auto result = co_await exchange(false);
    while (admitRetry(result)) {
        m_proxy.metrics.counter("request_retries_total", { { "service", m_proxy.options.service } }).fetch_add(1);
        result = co_await exchange(true);
    }
    finishAdmission(result);
    m_outcome = m_proxy.tracker.outcome(m_id);
    if (result == ExchangeResult::Truncated)
        m_output.abort();
    if (result == ExchangeResult::Completed || result == ExchangeResult::Truncated || m_callerDisconnected)
        co_return;
    const auto response = failureResponse();
    co_await reply(response);
}

boost::asio::awaitable<void> RequestTask::reply(const LocalResponse& response)
{
    m_outcome = response.outcome;
    m_keepAlive = m_keepAlive && m_reader.bodyDone();
    const auto headRequest = m_header.method() == http::verb::head;
    const auto bytes = serialize(response, !m_keepAlive, headRequest);
    co_await m_output.write(bytes);
}

LocalResponse RequestTask::rejection(const admission::AdmissionDecision& decision) const
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(decision.retryAfter);
    return {
        .status = http::status::service_unavailable,
        .outcome = notRunOutcome(),
        .retryAfter = std::max(seconds, std::chrono::seconds(1)),
        .message = notRunMessage(reasonName(decision.reason)),
    };
}

// An earlier attempt with the same Idempotency-Key may have run at another agent, or at this one before its restart.
Outcome RequestTask::notRunOutcome() const
{
    return m_key ? Outcome::Unknown : Outcome::NotRun;
}

std::string RequestTask::notRunMessage(std::string_view reason) const
{
    if (m_key)
        return "this attempt was not run: " + std::string(reason) + "; an earlier one with this Idempotency-Key may have run; if there was none, send it again with the same key after the time in Retry-After";
    return "the request was not run: " + std::string(reason) + "; send it again after the time in Retry-After";
}

LocalResponse RequestTask::failureResponse() const
{
    if (m_outcome == Outcome::NotRun)
        return { .outcome = notRunOutcome(), .retryAfter = failureRetryAfter, .message = notRunMessage("no connection to the server") };
    LocalResponse response { .status = http::status::bad_gateway, .outcome = Outcome::Unknown };
    response.message = "the request may have run: " + m_reason + "; check its effect before sending it again";
    if (m_connection->abortReason() == AbortReason::Deadline)
        response.status = http::status::gateway_timeout;
    if (m_connection->abortReason() == AbortReason::RequestBodyError)
        response.status = m_bodyResult == ReadResult::TimedOut ? http::status::request_timeout : http::status::bad_request;
    if (m_class != RequestClass::NonIdempotent)
        response.retryAfter = failureRetryAfter;
    return response;
}

void RequestTask::finishAdmission(RequestOutcome outcome)
{
    if (m_admissionGuard)
        m_admissionGuard->finish(outcome, m_latency);
}

void RequestTask::finishAdmission(ExchangeResult result)
{
    const auto abortReason = m_callerDisconnected ? AbortReason::CallerDisconnected : m_connection->abortReason();
    if (result == ExchangeResult::Completed) {
        const auto status = m_connection->header().result();
        const auto rejected = status == http::status::service_unavailable || status == http::status::too_many_requests;
        finishAdmission(rejected ? RequestOutcome::Rejected : RequestOutcome::Completed);
    } else if (abortReason == AbortReason::CallerDisconnected || abortReason == AbortReason::RequestBodyError || m_output.failed()) {
        finishAdmission(RequestOutcome::Cancelled);
    } else if (abortReason == AbortReason::Deadline) {
        // A shorter deadline set by the caller does not indicate a slow server.
        finishAdmission(m_hasCallerDeadline ? RequestOutcome::Cancelled : RequestOutcome::TimedOut);
    } else {
        finishAdmission(result == ExchangeResult::NotConnected ? RequestOutcome::Rejected : RequestOutcome::Failed);
    }
}

Duration RequestTask::remainingTime() const
{
    return std::max(Duration::zero(), m_deadline - m_proxy.clock.now());
}

void RequestTask::recordOutcome()
{
    const auto& service = m_proxy.options.service;
    const std::string requestClass(name(m_class));
    const std::string outcome(name(m_outcome));
    m_proxy.metrics.counter("requests_total", { { "service", service }, { "class", requestClass }, { "outcome", outcome } }).fetch_add(1);
    if (m_outcome == Outcome::Completed)
        m_proxy.metrics.histogram("request_first_byte_seconds", { { "service", service }, { "class", requestClass } }).record(std::chrono::duration<double>(m_latency).count());
    else
        m_proxy.metrics.counter("requests_unanswered_total", { { "service", service }, { "class", requestClass }, { "reason", m_reason } }).fetch_add(1);
    const auto uncertain = m_outcome == Outcome::Unknown || m_outcome == Outcome::Truncated;
    log(uncertain ? LogLevel::Info : LogLevel::Debug, "request_ended",
        { { "flow", std::to_string(m_context.flow) }, { "request", std::to_string(m_id) }, { "service", service },
            { "version", std::to_string(m_context.version) }, { "class", requestClass }, { "outcome", outcome }, { "reason", m_reason } });
}

} // namespace clementinesill::requests

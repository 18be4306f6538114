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

// What a caller is told of a key that is not run, in the order of KeyVerdict.
struct KeyAnswer {
    std::string_view reason;
    http::status status;
    Outcome outcome;
    bool retry;
    std::string_view message;
};

constexpr std::array<KeyAnswer, 7> keyAnswers { {
    { "", http::status::ok, Outcome::Answered, false, "" },
    { "key_running", http::status::conflict, Outcome::Unknown, true, "the first request of this Idempotency-Key is still running; send it again after the time in Retry-After" },
    { "", http::status::ok, Outcome::Answered, false, "" },
    { "key_answer_gone", http::status::conflict, Outcome::Unknown, false, "the request of this Idempotency-Key ran and its answer is no longer stored; read its effect instead" },
    { "key_unknown", http::status::conflict, Outcome::Unknown, false, "the request of this Idempotency-Key may have run; check its effect before sending it with another key" },
    { "key_mismatch", http::status::unprocessable_entity, Outcome::NotRun, false, "this Idempotency-Key belongs to another request; send a new key" },
    { "key_store_full", http::status::service_unavailable, Outcome::NotRun, true, "the request was not run: too many keys are remembered; send it again after the time in Retry-After" },
} };

LocalAnswer keyAnswer(KeyVerdict verdict)
{
    const auto& row = keyAnswers[static_cast<std::size_t>(verdict)];
    LocalAnswer answer { .status = row.status, .outcome = row.outcome, .message = std::string(row.message) };
    if (row.retry)
        answer.retryAfter = failureRetryAfter;
    return answer;
}

std::string_view reasonName(admission::AdmissionReason reason)
{
    static constexpr std::array<std::string_view, 8> names { "admitted", "draining", "zone_out", "connection_limit", "slot_limit",
        "warmup_limit", "queue_too_long", "server_unhealthy" };
    return names[static_cast<std::size_t>(reason)];
}

} // namespace

RequestTask::RequestTask(GateState& gate, CallerInput& input, CallerOutput& output, RequestReader& reader, const CallerContext& context)
    : m_gate(gate)
    , m_input(input)
    , m_output(output)
    , m_reader(reader)
    , m_context(context)
    , m_header(reader.message())
    , m_class(classify(m_header))
    , m_id(gate.ledger.begin())
    , m_begin(gate.clock.now())
    , m_bodyStopped(gate.executor)
{
}

RequestTask::~RequestTask()
{
    m_input.setEndHandler({});
    m_gate.ledger.end(m_id);
}

boost::asio::awaitable<bool> RequestTask::run()
{
    m_keepAlive = keepsAlive(m_header) && !m_gate.draining;
    const auto timeout = requestTimeout(m_header, m_gate.options.requestTimeout);
    if (const auto problem = checkRequest(m_header, m_gate.options.limits)) {
        m_keepAlive = false;
        m_reason = "bad_request";
        const LocalAnswer answer { .status = problem->status, .message = problem->message };
        co_await reply(answer);
    } else if (!timeout) {
        m_keepAlive = false;
        m_reason = "bad_request";
        const LocalAnswer answer { .status = http::status::bad_request, .message = "Request-Timeout-Ms is not a number; send milliseconds" };
        co_await reply(answer);
    } else {
        m_ownDeadline = *timeout < m_gate.options.requestTimeout;
        m_deadline = m_begin + *timeout;
        if (m_class == RequestClass::Order && m_header.count(beastView(idempotencyKeyField)) > 0)
            co_await serveKeyed();
        else
            co_await admitAndExchange();
    }
    record();
    co_return m_keepAlive&& m_reader.bodyDone() && !m_output.failed();
}

boost::asio::awaitable<void> RequestTask::serveKeyed()
{
    m_key.emplace(m_gate, m_header);
    const auto size = m_key->key().size();
    if (size == 0 || size > m_gate.options.keys.keyBytes) {
        m_reason = "bad_request";
        const LocalAnswer answer { .status = http::status::bad_request, .message = "Idempotency-Key empty or too long; send 1 to 255 characters" };
        co_await reply(answer);
        co_return;
    }
    const auto verdict = m_key->begin();
    if (verdict == KeyVerdict::Run) {
        co_await claimAndExchange();
        m_key.reset();
        co_return;
    }
    if (verdict == KeyVerdict::Stored) {
        co_await replayStored();
        co_return;
    }
    m_reason = keyAnswers[static_cast<std::size_t>(verdict)].reason;
    const auto answer = keyAnswer(verdict);
    co_await reply(answer);
}

boost::asio::awaitable<void> RequestTask::claimAndExchange()
{
    auto verdict = ClaimVerdict::Granted;
    if (m_gate.claims)
        verdict = co_await m_gate.claims->claim(m_key->key(), m_key->fingerprint());
    if (verdict == ClaimVerdict::Granted) {
        co_await admitAndExchange();
        co_return;
    }
    m_key->forget();
    auto answer = keyAnswer(KeyVerdict::Running);
    m_reason = "key_taken";
    if (verdict == ClaimVerdict::NoMajority) {
        answer = { .retryAfter = failureRetryAfter, .message = "this attempt was not run: too few agents answered for its Idempotency-Key; send it again with the same key" };
        m_reason = "key_no_majority";
    }
    co_await reply(answer);
}

// The stored answer is given only once the whole body is known to be that of the first request.
boost::asio::awaitable<void> RequestTask::replayStored()
{
    if (expectsContinue(m_header) && !m_reader.bodyDone())
        co_await m_output.write("HTTP/1.1 100 Continue\r\n\r\n");
    std::vector<char> buffer(bodyPartBytes);
    while (!m_reader.bodyDone()) {
        std::size_t size = 0;
        const auto end = co_await m_reader.readBody(buffer, size);
        if (end != ReadEnd::Ok) {
            m_reason = "caller_broken";
            const LocalAnswer answer { .status = http::status::bad_request, .outcome = Outcome::Unknown, .message = "incomplete body; send the whole request again" };
            co_await reply(answer);
            co_return;
        }
        m_key->addBody({ buffer.data(), size });
    }
    const auto* stored = m_gate.keys.stored(m_key->key(), m_key->digest());
    if (!stored) {
        m_reason = keyAnswers[static_cast<std::size_t>(KeyVerdict::Mismatch)].reason;
        const auto answer = keyAnswer(KeyVerdict::Mismatch);
        co_await reply(answer);
        co_return;
    }
    const auto bytes = serialize(*stored, !m_keepAlive);
    const auto written = co_await m_output.write(bytes);
    m_outcome = written ? Outcome::Answered : Outcome::Cut;
}

boost::asio::awaitable<void> RequestTask::admitAndExchange()
{
    m_gate.retryBudget.onRequest();
    const auto priority = m_class == RequestClass::Order ? admission::QueuePriority::High : admission::QueuePriority::Normal;
    const auto decision = co_await m_gate.admitter.admit(priority, timeLeft());
    if (!decision.admitted()) {
        m_reason = reasonName(decision.reason);
        const auto answer = refusal(decision);
        co_await reply(answer);
        co_return;
    }
    m_ticket.emplace(m_gate.admitter);
    auto end = co_await exchange(false);
    while (mayRetry(end)) {
        m_gate.metrics.counter("request_retries_total", { { "service", m_gate.options.service } }).fetch_add(1);
        end = co_await exchange(true);
    }
    finishTicket(end);
    m_outcome = m_gate.ledger.outcome(m_id);
    if (end == ExchangeEnd::Cut)
        m_output.abort();
    if (end == ExchangeEnd::Answered || end == ExchangeEnd::Cut || m_callerGone)
        co_return;
    const auto answer = failure();
    co_await reply(answer);
}

boost::asio::awaitable<void> RequestTask::reply(const LocalAnswer& answer)
{
    m_outcome = answer.outcome;
    m_keepAlive = m_keepAlive && m_reader.bodyDone();
    const auto headRequest = m_header.method() == http::verb::head;
    const auto bytes = serialize(answer, !m_keepAlive, headRequest);
    co_await m_output.write(bytes);
}

LocalAnswer RequestTask::refusal(const admission::AdmissionDecision& decision) const
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(decision.retryAfter);
    return {
        .status = http::status::service_unavailable,
        .outcome = Outcome::NotRun,
        .retryAfter = std::max(seconds, std::chrono::seconds(1)),
        .message = "the request was not run: " + std::string(reasonName(decision.reason)) + "; send it again after the time in Retry-After",
    };
}

LocalAnswer RequestTask::failure() const
{
    if (m_outcome == Outcome::NotRun)
        return { .retryAfter = failureRetryAfter, .message = "the request was not run: no connection to the server; send it again after the time in Retry-After" };
    LocalAnswer answer { .status = http::status::bad_gateway, .outcome = Outcome::Unknown };
    answer.message = "the request may have run: " + m_reason + "; check its effect before sending it again";
    if (m_connection->abortReason() == AbortReason::Deadline)
        answer.status = http::status::gateway_timeout;
    if (m_connection->abortReason() == AbortReason::CallerBroken)
        answer.status = m_bodyEnd == ReadEnd::TimedOut ? http::status::request_timeout : http::status::bad_request;
    if (m_class != RequestClass::Order)
        answer.retryAfter = failureRetryAfter;
    return answer;
}

void RequestTask::finishTicket(RequestOutcome outcome)
{
    if (m_ticket)
        m_ticket->finish({ .outcome = outcome, .latency = m_latency, .kind = m_class == RequestClass::Order ? admission::RequestKind::NonIdempotent : admission::RequestKind::Idempotent });
}

void RequestTask::finishTicket(ExchangeEnd end)
{
    const auto given = m_callerGone ? AbortReason::CallerGone : m_connection->abortReason();
    if (end == ExchangeEnd::Answered) {
        const auto status = m_connection->header().result();
        const auto shed = status == http::status::service_unavailable || status == http::status::too_many_requests;
        finishTicket(shed ? RequestOutcome::Rejected : RequestOutcome::Completed);
    } else if (given == AbortReason::CallerGone || given == AbortReason::CallerBroken || m_output.failed()) {
        finishTicket(RequestOutcome::Cancelled);
    } else if (given == AbortReason::Deadline) {
        // A caller's own short deadline says nothing about the server.
        finishTicket(m_ownDeadline ? RequestOutcome::Cancelled : RequestOutcome::TimedOut);
    } else {
        finishTicket(end == ExchangeEnd::NotConnected ? RequestOutcome::Rejected : RequestOutcome::Failed);
    }
}

Duration RequestTask::timeLeft() const
{
    return std::max(Duration::zero(), m_deadline - m_gate.clock.now());
}

void RequestTask::record()
{
    const auto& service = m_gate.options.service;
    const std::string requestClass(name(m_class));
    const std::string outcome(name(m_outcome));
    m_gate.metrics.counter("requests_total", { { "service", service }, { "class", requestClass }, { "outcome", outcome } }).fetch_add(1);
    if (m_outcome == Outcome::Answered)
        m_gate.metrics.histogram("request_first_byte_seconds", { { "service", service }, { "class", requestClass } }).record(std::chrono::duration<double>(m_latency).count());
    else
        m_gate.metrics.counter("requests_unanswered_total", { { "service", service }, { "class", requestClass }, { "reason", m_reason } }).fetch_add(1);
    const auto uncertain = m_outcome == Outcome::Unknown || m_outcome == Outcome::Cut;
    log(uncertain ? LogLevel::Info : LogLevel::Debug, "request_ended",
        { { "flow", std::to_string(m_context.flow) }, { "request", std::to_string(m_id) }, { "service", service },
            { "version", std::to_string(m_context.version) }, { "class", requestClass }, { "outcome", outcome }, { "reason", m_reason } });
}

} // namespace clementinesill::requests

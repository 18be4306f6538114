#include "requests/internal/requesttask.h"

#include "foundation/histogram.h"
#include "foundation/log.h"
#include "foundation/metrics.h"
#include "requests/ikeyclaims.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <charconv>
#include <vector>

namespace clementinesill::requests {

namespace http = boost::beast::http;
using admission::RequestEnd;

namespace {

constexpr std::size_t bodyPartBytes = std::size_t { 16 } * 1024;
constexpr auto failureRetryAfter = std::chrono::seconds(1);

boost::beast::string_view beastView(std::string_view text)
{
    return { text.data(), text.size() };
}

std::string chunk(std::string_view part)
{
    return boost::beast::buffers_to_string(http::make_chunk(boost::asio::buffer(part)));
}

std::string lastChunk()
{
    return boost::beast::buffers_to_string(http::make_chunk_last());
}

RequestId echoedRequest(const AnswerHeader& header)
{
    const auto text = fieldValue(header, exchangeField);
    if (text.empty())
        return 0;
    RequestId id = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id);
    // A field that is not one of the gate's numbers names no request of this gate.
    return error == std::errc() && end == text.data() + text.size() ? id : ~RequestId { 0 };
}

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

std::string_view reasonName(AbortReason reason)
{
    static constexpr std::array<std::string_view, 6> names { "connection_lost", "deadline", "caller_gone", "caller_broken", "closed", "answer_mismatch" };
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

// One exchange on one server connection. Retries start from here with another connection.
boost::asio::awaitable<RequestTask::ExchangeEnd> RequestTask::exchange(bool retried)
{
    // A caller that left before anything was handed over costs the server nothing.
    if (m_input.ended() && (m_input.reset() || m_class != RequestClass::Order)) {
        m_callerGone = true;
        m_reason = reasonName(AbortReason::CallerGone);
        co_return ExchangeEnd::NotConnected;
    }
    auto end = ExchangeEnd::NotConnected;
    const auto open = co_await openConnection(retried);
    if (open)
        end = co_await receive();
    m_input.setEndHandler({});
    co_await stopBody();
    endExchange(end);
    co_return end;
}

boost::asio::awaitable<bool> RequestTask::openConnection(bool retried)
{
    // An idle connection may be closed by the server just now, which would leave an order's outcome unknown.
    m_connection = m_class == RequestClass::Order || retried ? nullptr : m_gate.pool.take();
    const auto reused = m_connection != nullptr;
    if (!reused)
        m_connection = m_gate.pool.create();
    m_input.setEndHandler([this] { onCallerEnd(); });
    if (reused)
        co_return m_gate.ledger.bind(m_id, m_connection->id()) == BindVerdict::Bound;
    const Watchdog deadline(m_gate.executor, timeLeft(), [connection = m_connection] { connection->abort(AbortReason::Deadline); });
    const auto error = co_await m_connection->connect(m_gate.options.server);
    if (!error)
        co_return m_gate.ledger.bind(m_id, m_connection->id()) == BindVerdict::Bound;
    // Nobody listens: the server is down and will be cold when it is back.
    if (error == boost::asio::error::connection_refused)
        m_gate.admission.restartWarmup();
    co_return false;
}

boost::asio::awaitable<RequestTask::ExchangeEnd> RequestTask::receive()
{
    Watchdog deadline(m_gate.executor, timeLeft(), [connection = m_connection] { connection->abort(AbortReason::Deadline); });
    m_gate.ledger.handOver(m_id);
    if (m_key)
        m_key->onHandedOver();
    m_handedOver = m_gate.clock.now();
    // A server that closes early may have answered already, so a failed write does not end the exchange.
    const auto header = serialize(serverHeader());
    co_await m_connection->write(header);
    if (!m_reader.bodyDone()) {
        if (expectsContinue(m_header))
            co_await m_output.write("HTTP/1.1 100 Continue\r\n\r\n");
        m_body = BodyState::Sending;
        boost::asio::co_spawn(m_gate.executor, sendBody(), boost::asio::detached);
    }
    const auto headRequest = m_header.method() == http::verb::head;
    const auto error = co_await m_connection->readHeader(headRequest, static_cast<std::uint32_t>(m_gate.options.limits.headerBytes));
    if (error || !isAnswerFramed(m_connection->header()))
        co_return ExchangeEnd::Lost;
    // The deadline is for the start of the answer; a feed goes on for hours.
    deadline.disarm();
    m_latency = m_gate.clock.now() - m_handedOver;
    if (m_gate.ledger.answer(m_connection->id(), echoedRequest(m_connection->header())) != AnswerVerdict::Deliver) {
        m_connection->abort(AbortReason::AnswerMismatch);
        co_return ExchangeEnd::Lost;
    }
    const auto end = co_await forwardAnswer();
    co_return end;
}

boost::asio::awaitable<RequestTask::ExchangeEnd> RequestTask::forwardAnswer()
{
    bool chunked = false;
    auto header = callerHeader(chunked);
    const auto unbounded = !m_connection->answerDone() && header.count(http::field::content_length) == 0;
    // An answer that ends with the server's connection ends with the caller's too: its wholeness cannot be told.
    m_keepAlive = m_keepAlive && m_reader.bodyDone() && !m_gate.draining && (chunked || !unbounded);
    if (!m_keepAlive)
        header.set(http::field::connection, "close");
    if (unbounded && m_class == RequestClass::Read && isFeedType(header)) {
        m_class = RequestClass::Feed;
        finishTicket(RequestEnd::Answered);
    }
    std::optional<Watchdog> feed;
    if (unbounded && m_class == RequestClass::Read) {
        feed.emplace(m_gate.executor, m_gate.options.feedAfter, [this] {
            m_class = RequestClass::Feed;
            finishTicket(RequestEnd::Answered);
        });
    }
    m_gate.ledger.deliver(m_id);
    // An answer whose wholeness cannot be told is not stored.
    if (m_key && !m_connection->endsWithConnection())
        m_key->addAnswerHeader(header);
    const auto bytes = serialize(header);
    const auto begun = co_await m_output.write(bytes);
    // The answer of a keyed request is read to its end for the next try, even if its caller is gone.
    if (!begun && !m_key)
        co_return ExchangeEnd::Cut;
    const auto whole = co_await forwardBody(chunked);
    if (!whole)
        co_return ExchangeEnd::Cut;
    m_gate.ledger.complete(m_id);
    co_return ExchangeEnd::Answered;
}

boost::asio::awaitable<bool> RequestTask::forwardBody(bool chunked)
{
    std::array<char, bodyPartBytes> part;
    while (!m_connection->answerDone()) {
        std::size_t size = 0;
        const auto error = co_await m_connection->readBody(part, size);
        if (error)
            co_return false;
        if (size == 0)
            break;
        std::string bytes(part.data(), size);
        if (m_key)
            m_key->addAnswerBody(bytes);
        if (chunked)
            bytes = chunk(bytes);
        const auto written = co_await m_output.write(bytes);
        if (!written && !m_key)
            co_return false;
    }
    if (m_key && m_reader.bodyDone())
        m_key->onAnswered();
    if (!chunked)
        co_return !m_output.failed();
    const auto last = lastChunk();
    const auto ended = co_await m_output.write(last);
    co_return ended;
}

boost::asio::awaitable<void> RequestTask::sendBody()
{
    const auto connection = m_connection;
    const auto chunked = isChunked(m_header);
    std::array<char, bodyPartBytes> buffer;
    bool sent = true;
    while (sent && !m_reader.bodyDone()) {
        std::size_t size = 0;
        m_bodyEnd = co_await m_reader.readBody(buffer, size);
        if (m_bodyEnd != ReadEnd::Ok) {
            if (m_bodyEnd != ReadEnd::Interrupted)
                connection->abort(AbortReason::CallerBroken);
            sent = false;
        } else if (size > 0) {
            if (m_key)
                m_key->addBody({ buffer.data(), size });
            const std::string_view part(buffer.data(), size);
            sent = co_await sendBodyPart(part, chunked);
        }
    }
    if (sent && chunked) {
        const auto last = lastChunk();
        const auto error = co_await connection->write(last);
        sent = !error;
    }
    m_body = sent ? BodyState::Sent : BodyState::Failed;
    m_bodyStopped.notify();
}

boost::asio::awaitable<bool> RequestTask::sendBodyPart(std::string_view part, bool chunked)
{
    const auto bytes = chunked ? chunk(part) : std::string(part);
    const auto error = co_await m_connection->write(bytes);
    co_return !error;
}

// Ends a body that is still being sent; its rest stays unread.
boost::asio::awaitable<void> RequestTask::stopBody()
{
    if (m_body != BodyState::Sending)
        co_return;
    m_keepAlive = false;
    m_connection->abort(AbortReason::Closed);
    m_reader.interruptBody();
    while (m_body == BodyState::Sending)
        co_await m_bodyStopped.wait();
}

void RequestTask::endExchange(ExchangeEnd end)
{
    if (end == ExchangeEnd::Answered) {
        m_gate.pool.put(m_connection);
        return;
    }
    m_reason = reasonName(m_connection->abortReason());
    m_callerGone = m_callerGone || m_connection->abortReason() == AbortReason::CallerGone;
    m_gate.ledger.giveUp(m_id);
    m_connection->abort(AbortReason::Closed);
    m_gate.pool.put(m_connection);
}

// The caller's end is taken as leaving, but for orders: half a close must not cut one that runs.
void RequestTask::onCallerEnd()
{
    const auto leaves = m_class == RequestClass::Order ? m_input.reset() && !m_key : true;
    if (leaves)
        m_connection->abort(AbortReason::CallerGone);
}

bool RequestTask::mayRetry(ExchangeEnd end)
{
    const auto given = m_connection ? m_connection->abortReason() : AbortReason::None;
    const auto lost = end == ExchangeEnd::Lost && given == AbortReason::Closed;
    if (!lost || m_class == RequestClass::Order || m_body != BodyState::None)
        return false;
    return timeLeft() > Duration::zero() && m_gate.retryBudget.tryTake();
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

RequestHeader RequestTask::serverHeader() const
{
    RequestHeader header = m_header;
    header.version(11);
    removeHopFields(header);
    header.erase(http::field::expect);
    auto addresses = std::string(fieldValue(header, "X-Forwarded-For"));
    if (!addresses.empty())
        addresses += ", ";
    header.set("X-Forwarded-For", addresses + formatAddress(m_context.caller.address));
    header.set(beastView(exchangeField), std::to_string(m_id));
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(timeLeft());
    header.set(beastView(timeoutField), std::to_string(std::max<std::int64_t>(1, left.count())));
    return header;
}

AnswerHeader RequestTask::callerHeader(bool& chunked) const
{
    AnswerHeader header = m_connection->header();
    removeHopFields(header);
    header.version(11);
    header.erase(beastView(exchangeField));
    const auto shed = header.result() == http::status::service_unavailable || header.result() == http::status::too_many_requests;
    if (!shed)
        header.erase(beastView(outcomeField));
    else if (header.count(http::field::retry_after) == 0)
        header.set(http::field::retry_after, std::to_string(failureRetryAfter.count()));
    chunked = isChunked(header) && m_header.version() == 11 && !m_connection->answerDone();
    if (m_header.version() == 10)
        header.erase(http::field::transfer_encoding);
    return header;
}

void RequestTask::finishTicket(RequestEnd end)
{
    if (m_ticket)
        m_ticket->finish({ .end = end, .latency = m_latency, .kind = m_class == RequestClass::Order ? admission::RequestKind::Order : admission::RequestKind::Read });
}

void RequestTask::finishTicket(ExchangeEnd end)
{
    const auto given = m_callerGone ? AbortReason::CallerGone : m_connection->abortReason();
    if (end == ExchangeEnd::Answered) {
        const auto status = m_connection->header().result();
        const auto shed = status == http::status::service_unavailable || status == http::status::too_many_requests;
        finishTicket(shed ? RequestEnd::Shed : RequestEnd::Answered);
    } else if (given == AbortReason::CallerGone || given == AbortReason::CallerBroken || m_output.failed()) {
        finishTicket(RequestEnd::Cancelled);
    } else if (given == AbortReason::Deadline) {
        // A caller's own short deadline says nothing about the server.
        finishTicket(m_ownDeadline ? RequestEnd::Cancelled : RequestEnd::TimedOut);
    } else {
        finishTicket(end == ExchangeEnd::NotConnected ? RequestEnd::Shed : RequestEnd::Failed);
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

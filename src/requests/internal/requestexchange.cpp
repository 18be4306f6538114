#include "requests/internal/requesttask.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <charconv>
#include <vector>

// The part of RequestTask that exchanges one request for one answer over one server connection.

namespace clementinesill::requests {

namespace http = boost::beast::http;
using admission::RequestOutcome;

namespace {

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

std::string_view reasonName(AbortReason reason)
{
    static constexpr std::array<std::string_view, 6> names { "connection_lost", "deadline", "caller_gone", "caller_broken", "closed", "answer_mismatch" };
    return names[static_cast<std::size_t>(reason)];
}

} // namespace

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
        finishTicket(RequestOutcome::Completed);
    }
    std::optional<Watchdog> feed;
    if (unbounded && m_class == RequestClass::Read) {
        feed.emplace(m_gate.executor, m_gate.options.feedAfter, [this] {
            m_class = RequestClass::Feed;
            finishTicket(RequestOutcome::Completed);
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

} // namespace clementinesill::requests

#include "requests/internal/requesttask.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <charconv>
#include <vector>

// The part of RequestTask that exchanges one request and its response over one server connection.

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

RequestId echoedRequest(const ResponseHeader& header)
{
    const auto text = fieldValue(header, exchangeField);
    if (text.empty())
        return 0;
    RequestId id = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id);
    // A malformed field matches no request of this proxy.
    return error == std::errc() && end == text.data() + text.size() ? id : ~RequestId { 0 };
}

std::string_view reasonName(AbortReason reason)
{
    static constexpr std::array<std::string_view, 6> names { "connection_lost", "deadline", "caller_gone", "caller_broken", "closed", "answer_mismatch" };
    return names[static_cast<std::size_t>(reason)];
}

} // namespace

// Runs one exchange on one server connection; each retry is a new call with a new connection.
boost::asio::awaitable<RequestTask::ExchangeResult> RequestTask::exchange(bool retried)
{
    // Nothing is sent to the server if the caller disconnected before.
    if (m_input.ended() && (m_input.reset() || m_class != RequestClass::NonIdempotent)) {
        m_callerDisconnected = true;
        m_reason = reasonName(AbortReason::CallerDisconnected);
        co_return ExchangeResult::NotConnected;
    }
    auto result = ExchangeResult::NotConnected;
    const auto isOpen = co_await openConnection(retried);
    if (isOpen)
        result = co_await sendAndReceive();
    m_input.setEndHandler({});
    co_await stopBody();
    endExchange(result);
    co_return result;
}

boost::asio::awaitable<bool> RequestTask::openConnection(bool retried)
{
    // The server may be closing an idle connection at this moment, which would leave the outcome of a non-idempotent request
    // unknown.
    m_connection = m_class == RequestClass::NonIdempotent || retried ? nullptr : m_proxy.pool.take();
    m_connectionReused = m_connection != nullptr;
    if (!m_connectionReused)
        m_connection = m_proxy.pool.create();
    m_input.setEndHandler([this] { onCallerEnd(); });
    if (m_connectionReused)
        co_return m_proxy.tracker.bind(m_id, m_connection->id()) == BindResult::Bound;
    const Watchdog deadline(m_proxy.executor, remainingTime(), [connection = m_connection] { connection->abort(AbortReason::Deadline); });
    const auto error = co_await m_connection->connect(m_proxy.options.server);
    if (!error)
        co_return m_proxy.tracker.bind(m_id, m_connection->id()) == BindResult::Bound;
    // No process listens: the server is down and will need a warm-up after its restart.
    if (error == boost::asio::error::connection_refused)
        m_proxy.admission.restartWarmup();
    co_return false;
}

boost::asio::awaitable<RequestTask::ExchangeResult> RequestTask::sendAndReceive()
{
    Watchdog deadline(m_proxy.executor, remainingTime(), [connection = m_connection] { connection->abort(AbortReason::Deadline); });
    m_proxy.tracker.markSent(m_id);
    if (m_key)
        m_key->onSent();
    m_sentTime = m_proxy.clock.now();
    // A server may respond and close before it has read the whole request, so a failed write does not end the exchange.
    const auto header = serialize(makeServerHeader());
    co_await m_connection->write(header);
    if (!m_reader.bodyDone()) {
        if (expectsContinue(m_header))
            co_await m_output.write("HTTP/1.1 100 Continue\r\n\r\n");
        m_bodyState = BodyState::Sending;
        boost::asio::co_spawn(m_proxy.executor, sendBody(), boost::asio::detached);
    }
    const auto headRequest = m_header.method() == http::verb::head;
    const auto error = co_await m_connection->readHeader(headRequest, static_cast<std::uint32_t>(m_proxy.options.limits.headerBytes));
    if (error || !isResponseFramingValid(m_connection->header()))
        co_return ExchangeResult::NoResponse;
    // The deadline covers the start of the response only; a streaming response may last for hours.
    deadline.disarm();
    m_latency = m_proxy.clock.now() - m_sentTime;
    if (m_proxy.tracker.checkResponse(m_connection->id(), echoedRequest(m_connection->header())) != ResponseCheck::Accepted) {
        m_connection->abort(AbortReason::ResponseMismatch);
        co_return ExchangeResult::NoResponse;
    }
    const auto result = co_await forwardResponse();
    co_return result;
}

boost::asio::awaitable<RequestTask::ExchangeResult> RequestTask::forwardResponse()
{
    bool chunked = false;
    auto header = makeCallerHeader(chunked);
    const auto isUnbounded = !m_connection->responseDone() && header.count(http::field::content_length) == 0;
    // A response that ends with the server's connection also ends with the caller's: the proxy cannot detect a truncation, so
    // it must not send its own end marker.
    m_keepAlive = m_keepAlive && m_reader.bodyDone() && !m_proxy.draining && (chunked || !isUnbounded);
    if (!m_keepAlive)
        header.set(http::field::connection, "close");
    if (isUnbounded && m_class == RequestClass::Idempotent && isStreamingType(header)) {
        m_class = RequestClass::Streaming;
        finishAdmission(RequestOutcome::Completed);
    }
    std::optional<Watchdog> streamingTimer;
    if (isUnbounded && m_class == RequestClass::Idempotent) {
        streamingTimer.emplace(m_proxy.executor, m_proxy.options.streamingAfter, [this] {
            m_class = RequestClass::Streaming;
            finishAdmission(RequestOutcome::Completed);
        });
    }
    m_proxy.tracker.markForwarding(m_id);
    // A response whose truncation cannot be detected is not stored.
    if (m_key && !m_connection->endsWithConnection())
        m_key->addResponseHeader(header);
    const auto bytes = serialize(header);
    const auto written = co_await m_output.write(bytes);
    // The response to a request with an idempotency key is read to its end for later retries, even if the caller has
    // disconnected.
    if (!written && !m_key)
        co_return ExchangeResult::Truncated;
    const auto isComplete = co_await forwardBody(chunked);
    if (!isComplete)
        co_return ExchangeResult::Truncated;
    m_proxy.tracker.complete(m_id);
    co_return ExchangeResult::Completed;
}

boost::asio::awaitable<bool> RequestTask::forwardBody(bool chunked)
{
    std::array<char, bodyBufferBytes> part;
    while (!m_connection->responseDone()) {
        std::size_t size = 0;
        const auto error = co_await m_connection->readBody(part, size);
        if (error)
            co_return false;
        if (size == 0)
            break;
        std::string bytes(part.data(), size);
        if (m_key)
            m_key->addResponseBody(bytes);
        if (chunked)
            bytes = chunk(bytes);
        const auto written = co_await m_output.write(bytes);
        if (!written && !m_key)
            co_return false;
    }
    if (m_key && m_reader.bodyDone())
        m_key->onResponseComplete();
    if (!chunked)
        co_return !m_output.failed();
    const auto last = lastChunk();
    const auto written = co_await m_output.write(last);
    co_return written;
}

boost::asio::awaitable<void> RequestTask::sendBody()
{
    const auto connection = m_connection;
    const auto chunked = isChunked(m_header);
    std::array<char, bodyBufferBytes> buffer;
    bool sent = true;
    while (sent && !m_reader.bodyDone()) {
        std::size_t size = 0;
        m_bodyResult = co_await m_reader.readBody(buffer, size);
        if (m_bodyResult != ReadResult::Ok) {
            if (m_bodyResult != ReadResult::Interrupted)
                connection->abort(AbortReason::RequestBodyError);
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
    m_bodyState = sent ? BodyState::Sent : BodyState::Failed;
    m_bodyStopped.notify();
}

boost::asio::awaitable<bool> RequestTask::sendBodyPart(std::string_view part, bool chunked)
{
    const auto bytes = chunked ? chunk(part) : std::string(part);
    const auto error = co_await m_connection->write(bytes);
    co_return !error;
}

// Stops sending a request body; the rest of it is not read, so the caller's connection is not reused.
boost::asio::awaitable<void> RequestTask::stopBody()
{
    if (m_bodyState != BodyState::Sending)
        co_return;
    m_keepAlive = false;
    m_connection->abort(AbortReason::Closed);
    m_reader.interruptBody();
    while (m_bodyState == BodyState::Sending)
        co_await m_bodyStopped.wait();
}

void RequestTask::endExchange(ExchangeResult result)
{
    if (result == ExchangeResult::Completed) {
        m_proxy.pool.put(m_connection);
        return;
    }
    m_reason = reasonName(m_connection->abortReason());
    m_callerDisconnected = m_callerDisconnected || m_connection->abortReason() == AbortReason::CallerDisconnected;
    m_proxy.tracker.abandonExchange(m_id);
    m_connection->abort(AbortReason::Closed);
    m_proxy.pool.put(m_connection);
}

// Treats the caller's end of stream as a disconnect, except for non-idempotent requests: a half-close must not abort one
// in progress, and with an idempotency key it continues even after a reset.
void RequestTask::onCallerEnd()
{
    const auto disconnected = m_class == RequestClass::NonIdempotent ? m_input.reset() && !m_key : true;
    if (disconnected)
        m_connection->abort(AbortReason::CallerDisconnected);
}

bool RequestTask::admitRetry(ExchangeResult result)
{
    const auto abortReason = m_connection ? m_connection->abortReason() : AbortReason::None;
    // endExchange has set Closed unless the exchange was aborted before. On a reused connection, a response that does not match
    // may be a late copy of an earlier one.
    const auto mayRetry = abortReason == AbortReason::Closed || (abortReason == AbortReason::ResponseMismatch && m_connectionReused);
    const auto isConnectionLost = result == ExchangeResult::NoResponse && mayRetry;
    if (!isConnectionLost || m_class == RequestClass::NonIdempotent || m_bodyState != BodyState::None)
        return false;
    return remainingTime() > Duration::zero() && m_proxy.retryBudget.tryTake();
}

RequestHeader RequestTask::makeServerHeader() const
{
    RequestHeader header = m_header;
    header.version(11);
    removeHopByHopFields(header);
    header.erase(http::field::expect);
    auto addresses = std::string(fieldValue(header, "X-Forwarded-For"));
    if (!addresses.empty())
        addresses += ", ";
    header.set("X-Forwarded-For", addresses + formatAddress(m_context.caller.address));
    header.set(beastView(exchangeField), std::to_string(m_id));
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(remainingTime());
    header.set(beastView(timeoutField), std::to_string(std::max<std::int64_t>(1, remaining.count())));
    return header;
}

ResponseHeader RequestTask::makeCallerHeader(bool& chunked) const
{
    ResponseHeader header = m_connection->header();
    removeHopByHopFields(header);
    header.version(11);
    header.erase(beastView(exchangeField));
    const auto rejected = header.result() == http::status::service_unavailable || header.result() == http::status::too_many_requests;
    if (!rejected)
        header.erase(beastView(outcomeField));
    else if (header.count(http::field::retry_after) == 0)
        header.set(http::field::retry_after, std::to_string(failureRetryAfter.count()));
    chunked = isChunked(header) && m_header.version() == 11 && !m_connection->responseDone();
    if (m_header.version() == 10)
        header.erase(http::field::transfer_encoding);
    return header;
}

} // namespace clementinesill::requests

#pragma once

#include "requests/internal/admissionguard.h"
#include "requests/internal/calleroutput.h"
#include "requests/internal/httprules.h"
#include "requests/internal/keyguard.h"
#include "requests/internal/localresponse.h"
#include "requests/internal/proxystate.h"
#include "requests/internal/requestreader.h"
#include "requests/internal/watchdog.h"
#include "requests/types/callercontext.h"

namespace clementinesill::requests {

// Retry-After value for failures of unknown duration.
constexpr std::chrono::seconds failureRetryAfter { 1 };

// Processes one request after its header was read: admission, exchanges with the server, response, metrics.
class RequestTask {
public:
    RequestTask(ProxyState& proxy, CallerInput& input, CallerOutput& output, RequestReader& reader, const CallerContext& context);
    ~RequestTask();
    RequestTask(const RequestTask&) = delete;
    RequestTask& operator=(const RequestTask&) = delete;

    // Returns whether the caller's connection may carry another request.
    boost::asio::awaitable<bool> run();

private:
    // Result of one exchange with the server.
    enum class ExchangeResult {
        Completed,
        // Only part of the response was received or forwarded.
        Truncated,
        // The connection could not be opened.
        NotConnected,
        // No valid response header was received: the connection was lost, or the proxy aborted the exchange.
        NoResponse,
    };

    enum class BodyState {
        None,
        Sending,
        Sent,
        Failed,
    };

    boost::asio::awaitable<void> serveKeyed();
    boost::asio::awaitable<void> claimAndExchange();
    boost::asio::awaitable<void> replayStored();
    boost::asio::awaitable<void> admitAndExchange();
    boost::asio::awaitable<ExchangeResult> exchange(bool retried);
    boost::asio::awaitable<bool> openConnection(bool retried);
    boost::asio::awaitable<bool> sendHeader();
    boost::asio::awaitable<ExchangeResult> sendAndReceive();
    boost::asio::awaitable<ExchangeResult> forwardResponse();
    boost::asio::awaitable<bool> forwardBody(bool chunked);
    boost::asio::awaitable<void> sendBody();
    boost::asio::awaitable<bool> sendBodyPart(std::string_view part, bool chunked);
    boost::asio::awaitable<void> stopBody();
    void endExchange(ExchangeResult result);
    boost::asio::awaitable<void> reply(const LocalResponse& response);
    LocalResponse rejection(const admission::AdmissionDecision& decision) const;
    LocalResponse failureResponse() const;
    // What the caller is told about a request that this proxy has not run.
    Outcome notRunOutcome() const;
    std::string notRunMessage(std::string_view reason) const;

    RequestHeader makeServerHeader() const;
    ResponseHeader makeCallerHeader(bool& chunked) const;
    // Returns whether to retry the exchange; if so, takes a token of the retry budget.
    bool admitRetry(ExchangeResult result);
    void onCallerEnd();
    void finishAdmission(admission::RequestOutcome outcome);
    void finishAdmission(ExchangeResult result);
    Duration remainingTime() const;
    void recordOutcome();

    static constexpr std::size_t bodyBufferBytes = 16384;

    ProxyState& m_proxy;
    CallerInput& m_input;
    CallerOutput& m_output;
    RequestReader& m_reader;
    const CallerContext& m_context;
    const RequestHeader& m_header;

    RequestClass m_class;
    RequestId m_id;
    MonotonicTime m_startTime;
    MonotonicTime m_deadline;
    MonotonicTime m_sentTime;
    Duration m_latency { 0 };
    bool m_hasCallerDeadline = false;
    bool m_keepAlive = true;
    bool m_callerDisconnected = false;
    Outcome m_outcome = Outcome::NotRun;
    std::string m_reason = "answered";

    std::optional<KeyGuard> m_key;
    std::optional<AdmissionGuard> m_admissionGuard;
    std::shared_ptr<ServerConnection> m_connection;
    // m_connection has carried another request before.
    bool m_connectionReused = false;
    BodyState m_bodyState = BodyState::None;
    ReadResult m_bodyResult = ReadResult::Ok;
    Signal m_bodyStopped;
};

} // namespace clementinesill::requests

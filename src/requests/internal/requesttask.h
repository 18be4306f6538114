#pragma once

#include "requests/internal/calleroutput.h"
#include "requests/internal/gatestate.h"
#include "requests/internal/httprules.h"
#include "requests/internal/keyguard.h"
#include "requests/internal/localanswer.h"
#include "requests/internal/requestreader.h"
#include "requests/internal/requestticket.h"
#include "requests/internal/watchdog.h"
#include "requests/types/callercontext.h"

namespace clementinesill::requests {

// When a caller may come back after a failure that says nothing of how long it will last.
constexpr std::chrono::seconds failureRetryAfter { 1 };

// Carries one request from its header to its outcome: admission, exchanges with the server, answer.
class RequestTask {
public:
    RequestTask(GateState& gate, CallerInput& input, CallerOutput& output, RequestReader& reader, const CallerContext& context);
    ~RequestTask();
    RequestTask(const RequestTask&) = delete;
    RequestTask& operator=(const RequestTask&) = delete;

    // Whether the caller's connection may carry another request.
    boost::asio::awaitable<bool> run();

private:
    // How one exchange with the server ended.
    enum class ExchangeEnd {
        Answered,
        // The answer was begun and broke off.
        Cut,
        // The connection could not be opened.
        NotConnected,
        // No answer: the connection was lost, or this side gave it up.
        Lost,
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
    boost::asio::awaitable<ExchangeEnd> exchange(bool retried);
    boost::asio::awaitable<bool> openConnection(bool retried);
    boost::asio::awaitable<bool> sendHeader();
    boost::asio::awaitable<ExchangeEnd> receive();
    boost::asio::awaitable<ExchangeEnd> forwardAnswer();
    boost::asio::awaitable<bool> forwardBody(bool chunked);
    boost::asio::awaitable<void> sendBody();
    boost::asio::awaitable<bool> sendBodyPart(std::string_view part, bool chunked);
    boost::asio::awaitable<void> stopBody();
    void endExchange(ExchangeEnd end);
    boost::asio::awaitable<void> reply(const LocalAnswer& answer);
    LocalAnswer refusal(const admission::AdmissionDecision& decision) const;
    LocalAnswer failure() const;

    RequestHeader serverHeader() const;
    AnswerHeader callerHeader(bool& chunked) const;
    bool mayRetry(ExchangeEnd end);
    void onCallerEnd();
    void finishTicket(admission::RequestOutcome outcome);
    void finishTicket(ExchangeEnd end);
    Duration timeLeft() const;
    void record();

    // Bytes of a body that are held at once.
    static constexpr std::size_t bodyPartBytes = 16384;

    GateState& m_gate;
    CallerInput& m_input;
    CallerOutput& m_output;
    RequestReader& m_reader;
    const CallerContext& m_context;
    const RequestHeader& m_header;

    RequestClass m_class;
    RequestId m_id;
    MonotonicTime m_begin;
    MonotonicTime m_deadline;
    MonotonicTime m_handedOver;
    Duration m_latency { 0 };
    bool m_ownDeadline = false;
    bool m_keepAlive = true;
    bool m_callerGone = false;
    Outcome m_outcome = Outcome::NotRun;
    std::string m_reason = "answered";

    std::optional<KeyGuard> m_key;
    std::optional<RequestTicket> m_ticket;
    std::shared_ptr<ServerConnection> m_connection;
    BodyState m_body = BodyState::None;
    ReadEnd m_bodyEnd = ReadEnd::Ok;
    Signal m_bodyStopped;
};

} // namespace clementinesill::requests

#include "control/internal/peerlink.h"

#include <boost/asio/post.hpp>
#include <grpcpp/grpcpp.h>

namespace clementinesill::control {

namespace {

using boost::asio::awaitable;

// How often the log is asked whether something is due.
constexpr auto pollInterval = std::chrono::milliseconds(30);
// Wait after a call that failed.
constexpr auto retryInterval = std::chrono::milliseconds(100);
constexpr auto callTimeout = std::chrono::milliseconds(600);
constexpr auto snapshotTimeout = std::chrono::milliseconds(10'000);
constexpr int maximumMessageBytes = 256 << 20;

// Outlives the call, whoever ends first.
template <typename Request, typename Response>
struct CallState {
    explicit CallState(boost::asio::io_context& context)
        : done(context)
    {
    }

    grpc::ClientContext context;
    Request request;
    Response response;
    grpc::Status status;
    bool finished = false;
    Wakeup done;
};

} // namespace

PeerLink::PeerLink(boost::asio::io_context& context, ReplicatedLog& log, const ReplicaPeer& peer, const std::shared_ptr<grpc::ChannelCredentials>& credentials, std::function<void()> answered)
    : m_context(context)
    , m_log(log)
    , m_peer(peer)
    , m_answered(std::move(answered))
    , m_wakeup(context)
{
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(maximumMessageBytes);
    arguments.SetMaxSendMessageSize(maximumMessageBytes);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 200);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
    m_stub = schema::Peers::NewStub(grpc::CreateCustomChannel(peer.endpoint, credentials, arguments));
}

awaitable<void> PeerLink::run()
{
    while (!m_stopping) {
        const auto message = m_log.nextMessage(m_peer.name);
        if (!message) {
            co_await m_wakeup.wait(pollInterval);
            continue;
        }
        const auto answer = co_await send(*message);
        if (m_stopping)
            co_return;
        if (answer) {
            m_log.onAnswer(m_peer.name, *message, *answer);
            m_answered();
        } else {
            co_await m_wakeup.wait(retryInterval);
        }
    }
}

void PeerLink::stop()
{
    m_stopping = true;
    m_wakeup.wake();
}

awaitable<PeerLink::Answer> PeerLink::send(const PeerMessage& message)
{
    using Async = schema::Peers::Stub::async_interface;
    if (const auto* vote = std::get_if<schema::VoteRequest>(&message.request))
        return call<schema::VoteResponse>(&Async::Vote, *vote, callTimeout);
    if (const auto* append = std::get_if<schema::AppendRequest>(&message.request))
        return call<schema::AppendResponse>(&Async::Append, *append, callTimeout);
    if (const auto* snapshot = std::get_if<schema::SnapshotRequest>(&message.request))
        return call<schema::SnapshotResponse>(&Async::InstallSnapshot, *snapshot, snapshotTimeout);
    return call<schema::DescribeResponse>(&Async::Describe, std::get<schema::DescribeRequest>(message.request), callTimeout);
}

template <typename Response, typename Request>
awaitable<PeerLink::Answer> PeerLink::call(Method<Request, Response> method, const Request& request, std::chrono::milliseconds timeout)
{
    const auto state = std::make_shared<CallState<Request, Response>>(m_context);
    state->request = request;
    state->context.set_deadline(std::chrono::system_clock::now() + timeout);
    auto& context = m_context;
    (m_stub->async()->*method)(&state->context, &state->request, &state->response, [state, &context](const grpc::Status& status) {
        boost::asio::post(context, [state, status] {
            state->status = status;
            state->finished = true;
            state->done.wake();
        });
    });
    // Also when stopping: nothing may arrive after this object is gone.
    while (!state->finished) {
        if (m_stopping)
            state->context.TryCancel();
        co_await state->done.wait(pollInterval);
    }
    if (!state->status.ok())
        co_return std::nullopt;
    co_return Answer(PeerAnswer(state->response));
}

} // namespace clementinesill::control

#include "control/internal/peerlink.h"

#include "control/internal/peercall.h"
#include "foundation/log.h"

#include <utility>

namespace clementinesill::control {

namespace {

using boost::asio::awaitable;

// Delay after a failed call.
constexpr auto retryInterval = std::chrono::milliseconds(100);
constexpr auto callTimeout = std::chrono::milliseconds(600);
constexpr auto snapshotTimeout = std::chrono::milliseconds(10'000);

} // namespace

PeerLink::PeerLink(boost::asio::io_context& context, ReplicatedLog& log, const ReplicaPeer& peer, const std::shared_ptr<grpc::ChannelCredentials>& credentials, const IClock& clock, std::function<void()> responseHandled)
    : m_context(context)
    , m_log(log)
    , m_peer(peer)
    , m_clock(clock)
    , m_responseHandled(std::move(responseHandled))
    , m_credentials(credentials)
    , m_stub(peerStub(peer.endpoint, credentials))
    , m_wakeup(context)
{
}

awaitable<void> PeerLink::run()
{
    while (!m_stopping) {
        const auto message = m_log.nextMessage(m_peer.name);
        if (!message) {
            co_await m_wakeup.waitUntil(m_log.nextMessageTime(m_peer.name), m_clock);
            continue;
        }
        m_busy = true;
        const auto response = co_await send(*message);
        if (m_stopping)
            co_return;
        if (response) {
            updateReachable(true);
            m_log.onResponse(m_peer.name, *message, *response);
            m_responseHandled();
        } else {
            updateReachable(false);
            m_log.onFailure(m_peer.name, *message);
            // The connection may have failed without an error, so the next call uses a new one.
            m_stub = peerStub(m_peer.endpoint, m_credentials);
            co_await m_wakeup.wait(retryInterval);
        }
        m_busy = false;
    }
}

void PeerLink::updateReachable(bool reachable)
{
    if (std::exchange(m_reachable, reachable) == reachable)
        return;
    log(reachable ? LogLevel::Info : LogLevel::Warn, reachable ? "controller_reached" : "controller_unreachable", { { .key = "controller", .value = m_peer.endpoint } });
}

void PeerLink::wake()
{
    if (!m_busy && m_log.nextMessageTime(m_peer.name) <= m_clock.now())
        m_wakeup.wake();
}

void PeerLink::stop()
{
    m_stopping = true;
    m_wakeup.wake();
}

awaitable<PeerLink::Response> PeerLink::send(const PeerMessage& message)
{
    using Async = schema::Peers::Stub::async_interface;
    if (const auto* vote = std::get_if<schema::VoteRequest>(&message.request))
        co_return co_await callPeer<schema::VoteResponse>(m_context, *m_stub, &Async::Vote, *vote, callTimeout, m_stopping);
    if (const auto* append = std::get_if<schema::AppendRequest>(&message.request))
        co_return co_await callPeer<schema::AppendResponse>(m_context, *m_stub, &Async::Append, *append, callTimeout, m_stopping);
    if (const auto* snapshot = std::get_if<schema::SnapshotRequest>(&message.request))
        co_return co_await callPeer<schema::SnapshotResponse>(m_context, *m_stub, &Async::InstallSnapshot, *snapshot, snapshotTimeout, m_stopping);
    co_return co_await callPeer<schema::DescribeResponse>(m_context, *m_stub, &Async::Describe, std::get<schema::DescribeRequest>(message.request), callTimeout, m_stopping);
}

} // namespace clementinesill::control

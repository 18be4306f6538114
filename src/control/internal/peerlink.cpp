#include "control/internal/peerlink.h"

#include "control/internal/peercall.h"
#include "foundation/log.h"

#include <utility>

namespace clementinesill::control {

namespace {

using boost::asio::awaitable;

// Wait after a call that failed.
constexpr auto retryInterval = std::chrono::milliseconds(100);
constexpr auto callTimeout = std::chrono::milliseconds(600);
constexpr auto snapshotTimeout = std::chrono::milliseconds(10'000);
} // namespace

PeerLink::PeerLink(boost::asio::io_context& context, ReplicatedLog& log, const ReplicaPeer& peer, const std::shared_ptr<grpc::ChannelCredentials>& credentials, const IClock& clock, std::function<void()> answered)
    : m_context(context)
    , m_log(log)
    , m_peer(peer)
    , m_clock(clock)
    , m_answered(std::move(answered))
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
            co_await m_wakeup.waitUntil(m_log.messageDueAt(m_peer.name), m_clock);
            continue;
        }
        m_occupied = true;
        const auto answer = co_await send(*message);
        if (m_stopping)
            co_return;
        if (answer) {
            noteReached(true);
            m_log.onAnswer(m_peer.name, *message, *answer);
            m_answered();
        } else {
            noteReached(false);
            m_log.onFailure(m_peer.name, *message);
            // The connection may have gone silent for good.
            m_stub = peerStub(m_peer.endpoint, m_credentials);
            co_await m_wakeup.wait(retryInterval);
        }
        m_occupied = false;
    }
}

void PeerLink::noteReached(bool reached)
{
    if (std::exchange(m_reached, reached) == reached)
        return;
    log(reached ? LogLevel::Info : LogLevel::Warn, reached ? "controller_reached" : "controller_unreachable", { { .key = "controller", .value = m_peer.endpoint } });
}

void PeerLink::wake()
{
    if (!m_occupied && m_log.messageDueAt(m_peer.name) <= m_clock.now())
        m_wakeup.wake();
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
        co_return co_await callPeer<schema::VoteResponse>(m_context, *m_stub, &Async::Vote, *vote, callTimeout, m_stopping);
    if (const auto* append = std::get_if<schema::AppendRequest>(&message.request))
        co_return co_await callPeer<schema::AppendResponse>(m_context, *m_stub, &Async::Append, *append, callTimeout, m_stopping);
    if (const auto* snapshot = std::get_if<schema::SnapshotRequest>(&message.request))
        co_return co_await callPeer<schema::SnapshotResponse>(m_context, *m_stub, &Async::InstallSnapshot, *snapshot, snapshotTimeout, m_stopping);
    co_return co_await callPeer<schema::DescribeResponse>(m_context, *m_stub, &Async::Describe, std::get<schema::DescribeRequest>(message.request), callTimeout, m_stopping);
}

} // namespace clementinesill::control

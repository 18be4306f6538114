#pragma once

#include "control.grpc.pb.h"
#include "control/internal/wakeup.h"
#include "control/replicatedlog.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace grpc {
class ChannelCredentials;
}

namespace clementinesill::control {

// Sends the replicated log's messages to one peer, one at a time.
class PeerLink {
public:
    // responseHandled is called after the log has handled a response.
    PeerLink(boost::asio::io_context& context, ReplicatedLog& log, const ReplicaPeer& peer, const std::shared_ptr<grpc::ChannelCredentials>& credentials, const IClock& clock, std::function<void()> responseHandled);

    // Runs until stop().
    boost::asio::awaitable<void> run();

    // Sends a message if one is due; called after every event that may have made one due.
    void wake();

    void stop();

private:
    using Response = std::optional<PeerResponse>;

    void updateReachable(bool reachable);
    boost::asio::awaitable<Response> send(const PeerMessage& message);

    boost::asio::io_context& m_context;
    ReplicatedLog& m_log;
    ReplicaPeer m_peer;
    const IClock& m_clock;
    std::function<void()> m_responseHandled;
    std::shared_ptr<grpc::ChannelCredentials> m_credentials;
    std::unique_ptr<schema::Peers::Stub> m_stub;
    Wakeup m_wakeup;
    // Set while a call is in progress and during the delay after a failed one.
    bool m_busy = false;
    bool m_reachable = false;
    bool m_stopping = false;
};

} // namespace clementinesill::control

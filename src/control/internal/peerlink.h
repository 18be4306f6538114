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

// Sends what the replicated log has for one peer, one message at a time.
class PeerLink {
public:
    // answered is called after each answer was handed to the log.
    PeerLink(boost::asio::io_context& context, ReplicatedLog& log, const ReplicaPeer& peer, const std::shared_ptr<grpc::ChannelCredentials>& credentials, const IClock& clock, std::function<void()> answered);

    // Runs until stop().
    boost::asio::awaitable<void> run();

    // Looks whether there is something to send; called after whatever may have changed that.
    void wake();

    void stop();

private:
    using Answer = std::optional<PeerAnswer>;

    void noteReached(bool reached);
    boost::asio::awaitable<Answer> send(const PeerMessage& message);

    boost::asio::io_context& m_context;
    ReplicatedLog& m_log;
    ReplicaPeer m_peer;
    const IClock& m_clock;
    std::function<void()> m_answered;
    std::shared_ptr<grpc::ChannelCredentials> m_credentials;
    std::unique_ptr<schema::Peers::Stub> m_stub;
    Wakeup m_wakeup;
    // A call is in progress, or one has failed just now.
    bool m_occupied = false;
    bool m_reached = false;
    bool m_stopping = false;
};

} // namespace clementinesill::control

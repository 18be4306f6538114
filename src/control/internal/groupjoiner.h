#pragma once

#include "control/internal/groupjoineroptions.h"
#include "control/internal/wakeup.h"
#include "control/replicatedlog.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace grpc {
class ChannelCredentials;
}

namespace clementinesill::control {

// Sends join requests to the other controllers while this controller has no leader.
class GroupJoiner {
public:
    GroupJoiner(boost::asio::io_context& context, const GroupJoinerOptions& options);

    // Runs until stop().
    boost::asio::awaitable<void> run();

    void stop();

private:
    boost::asio::awaitable<void> requestJoin();
    std::vector<std::string> joinTargets() const;

    boost::asio::io_context& m_context;
    GroupJoinerOptions m_options;
    Wakeup m_wakeup;
    bool m_stopping = false;
};

} // namespace clementinesill::control

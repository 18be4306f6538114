#pragma once

#include "control/icommandlog.h"
#include "control/internal/failstopstorage.h"
#include "control/internal/fleetstatemachine.h"
#include "control/internal/groupjoiner.h"
#include "control/internal/peerlink.h"
#include "control/internal/posixfilesystem.h"
#include "control/internal/wakeup.h"
#include "control/logstorage.h"
#include "control/replicatedlog.h"
#include "foundation/seededrandom.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace clementinesill::control {

// The replicated log of this controller with its disk and its peers. Used on the control thread only.
class ReplicatedCommandLog final : public ICommandLog {
public:
    // seeds gives the gRPC endpoints of controllers to join; none if the settings name the group. Throws Error (Storage).
    ReplicatedCommandLog(boost::asio::io_context& context, const ReplicatedLogOptions& options, const std::string& dataFolder, FleetState& state, const std::shared_ptr<grpc::ChannelCredentials>& credentials, const IClock& clock, MetricsRegistry& metrics, std::function<std::vector<std::string>()> seeds = {});

    // Starts the coroutines of the log and of each peer. changed is called after the state or the leadership may have
    // changed.
    void start(std::function<void()> changed);
    void stop();

    boost::asio::awaitable<CommandResult> submit(schema::Command command) override;
    bool leading() const override { return m_log.leaseLive(); }
    bool current() const override { return m_log.leaderHeard(); }
    bool mayBeElecting() const override;
    std::string leaderEndpoint() const override { return m_log.leaderEndpoint(); }
    std::vector<std::string> members() const override;
    void describe(schema::StatusResponse& response) const override;

    const ReplicatedLog& log() const { return m_log; }

    // Hands a peer's request to the log.
    template <typename Call>
    auto onPeer(Call call)
    {
        auto response = call(m_log);
        afterEvent();
        return response;
    }

private:
    struct Waiter {
        std::uint64_t term = 0;
        bool done = false;
        CommandResult result;
        Wakeup wakeup;
    };

    boost::asio::awaitable<void> deadlineLoop();
    boost::asio::awaitable<void> foundFleet();
    void onApplied(std::uint64_t index, std::uint64_t term, const CommandResult& result);
    void flushSoon();
    void linkPeers();
    void afterEvent();
    void publishChanges();
    void logOffice(bool leading, bool current);
    void describeMetrics();
    void releaseWaiters();

    boost::asio::io_context& m_context;
    const IClock& m_clock;
    ReplicatedLogOptions m_options;
    FleetState& m_state;
    SeededRandom m_random;
    PosixFileSystem m_files;
    LogStorage m_storage;
    MetricsRegistry& m_metrics;
    FailStopStorage m_failStop;
    FleetStateMachine m_machine;
    std::map<std::uint64_t, std::shared_ptr<Waiter>> m_waiters;
    ReplicatedLog m_log;
    std::shared_ptr<grpc::ChannelCredentials> m_credentials;
    // By the peer's name.
    std::map<std::string, std::unique_ptr<PeerLink>> m_links;
    // Null if the settings name the group.
    std::unique_ptr<GroupJoiner> m_joiner;
    Wakeup m_deadline;
    // When the loop of deadlines wakes by itself; the earliest time while it runs.
    MonotonicTime m_wakesAt = MonotonicTime::min();
    std::function<void()> m_changed;
    bool m_stopping = false;
    bool m_flushing = false;
    bool m_founding = false;
    std::uint64_t m_seenVersion = 0;
    bool m_seenLeading = false;
    bool m_seenCurrent = false;
    // Until when a group whose members start together may need for its first leader.
    MonotonicTime m_firstElectionEnd;
    bool m_everCurrent = false;
};

} // namespace clementinesill::control

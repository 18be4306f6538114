#pragma once

#include "control/icommandlog.h"
#include "control/internal/fleetstatemachine.h"
#include "control/internal/groupjoiner.h"
#include "control/internal/monitoredstorage.h"
#include "control/internal/peerlink.h"
#include "control/internal/posixfilesystem.h"
#include "control/internal/wakeup.h"
#include "control/logstorage.h"
#include "control/replicatedlog.h"
#include "foundation/seededrandom.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace clementinesill::control {

// This controller's replicated log with its storage and its links to the peers. Used on the control thread only.
class ReplicatedCommandLog final : public ICommandLog {
public:
    // seeds returns the gRPC endpoints of controllers to join; unset if the settings list the group. Throws Error (Storage).
    ReplicatedCommandLog(boost::asio::io_context& context, const ReplicatedLogOptions& options, const std::string& dataFolder, FleetState& state, const std::shared_ptr<grpc::ChannelCredentials>& credentials, const IClock& clock, MetricsRegistry& metrics, std::function<std::vector<std::string>()> seeds = {});

    // Starts the coroutines of the log and of each peer. onChange is called after the state or the leadership may have
    // changed.
    void start(std::function<void()> onChange);
    // Announces the stop to the other controllers, then ends the coroutines.
    boost::asio::awaitable<void> leaveAndStop();

    boost::asio::awaitable<CommandResult> submit(schema::Command command) override;
    bool hasValidLease() const override { return m_log.hasValidLease(); }
    bool hasLeader() const override { return m_log.hasLeader(); }
    bool isUpToDate() const override { return m_log.isUpToDate(); }
    bool mayBeElectingFirstLeader() const override;
    std::string leaderEndpoint() const override { return m_log.leaderEndpoint(); }
    std::vector<std::string> memberEndpoints() const override;
    void fillStatus(schema::StatusResponse& response) const override;

    const ReplicatedLog& log() const { return m_log; }

    // Calls the log for a peer's request, then processes the changes that the call made.
    template <typename Call>
    auto handlePeerRequest(Call call)
    {
        auto response = call(m_log);
        processLogEvent();
        return response;
    }

private:
    struct PendingCommand {
        std::uint64_t term = 0;
        bool done = false;
        CommandResult result;
        Wakeup wakeup;
    };

    boost::asio::awaitable<void> deadlineLoop();
    boost::asio::awaitable<void> initializeFleet();
    void onApplied(std::uint64_t index, std::uint64_t term, const CommandResult& result);
    void scheduleFlush();
    void createPeerLinks();
    boost::asio::awaitable<void> announceLeave();
    boost::asio::awaitable<void> sendLeave(std::string endpoint, schema::LeaveGroupRequest request);
    void stop();
    void processLogEvent();
    void publishChanges();
    void logLeadershipChanges(bool hasValidLease, bool hasLeader);
    void publishRedundancy();
    void publishStateLag();
    void describeMetrics();
    void abandonPendingCommands();

    boost::asio::io_context& m_context;
    const IClock& m_clock;
    ReplicatedLogOptions m_options;
    FleetState& m_state;
    SeededRandom m_random;
    PosixFileSystem m_files;
    LogStorage m_storage;
    MetricsRegistry& m_metrics;
    MonitoredStorage m_monitoredStorage;
    FleetStateMachine m_machine;
    std::map<std::uint64_t, std::shared_ptr<PendingCommand>> m_pendingCommands;
    ReplicatedLog m_log;
    std::shared_ptr<grpc::ChannelCredentials> m_credentials;
    // By the peer's name.
    std::map<std::string, std::unique_ptr<PeerLink>> m_links;
    // Null if the settings list the group.
    std::unique_ptr<GroupJoiner> m_joiner;
    Wakeup m_deadlineWakeup;
    // When the timer of the deadline loop expires; MonotonicTime::min() while the loop is not waiting.
    MonotonicTime m_nextWakeup = MonotonicTime::min();
    std::function<void()> m_onChange;
    bool m_stopping = false;
    // Announcements of the stop that have no response yet.
    std::size_t m_pendingAnnouncements = 0;
    Wakeup m_announced;
    bool m_flushScheduled = false;
    bool m_initializingFleet = false;
    std::uint64_t m_publishedVersion = 0;
    bool m_hadValidLease = false;
    bool m_hadLeader = false;
    bool m_wasUpToDate = false;
    // Members that start together should have elected the first leader by then.
    MonotonicTime m_firstElectionDeadline;
    bool m_everHadLeader = false;
    std::optional<GroupRedundancy> m_publishedRedundancy;
    // Read by the thread that renders the metrics; -1 unless this controller leads.
    std::atomic<int> m_tolerableLosses = -1;
    // Read by the thread that renders the metrics.
    std::atomic<double> m_stateLagSeconds = 0;
    std::atomic<std::size_t> m_logBytes = 0;
    bool m_reportedStateLag = false;
};

} // namespace clementinesill::control

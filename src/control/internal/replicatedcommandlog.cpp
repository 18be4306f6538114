#include "control/internal/replicatedcommandlog.h"

#include "control/internal/peercall.h"
#include "foundation/histogram.h"
#include "foundation/log.h"
#include "foundation/metrics.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace clementinesill::control {

namespace {

using boost::asio::awaitable;
using boost::asio::co_spawn;
using boost::asio::detached;

// Time within which controllers that start together elect a leader: their VMs start within a second of each other, and two
// rounds of votes follow.
constexpr auto firstElectionTimeout = std::chrono::seconds(3);
// Timeout for committing a command; its outcome is reported as unknown after that.
constexpr auto submitTimeout = std::chrono::seconds(4);
// Time limit for the announcement of a stop.
constexpr auto leaveTimeout = std::chrono::milliseconds(300);
// A state that is older than this is logged. Committed changes normally arrive within milliseconds.
constexpr auto stateLagThreshold = std::chrono::milliseconds(500);

CommandResult unknownOutcome()
{
    return { .code = schema::Outcome::CODE_UNKNOWN, .message = "the outcome of the change is unknown; send it again with the same request id" };
}

} // namespace

ReplicatedCommandLog::ReplicatedCommandLog(boost::asio::io_context& context, const ReplicatedLogOptions& options, const std::string& dataFolder, FleetState& state, const std::shared_ptr<grpc::ChannelCredentials>& credentials, const IClock& clock, MetricsRegistry& metrics, std::function<std::vector<std::string>()> seeds)
    : m_context(context)
    , m_clock(clock)
    , m_options(options)
    , m_state(state)
    , m_random(SeededRandom::fromEntropy())
    , m_files(dataFolder)
    , m_storage(m_files, m_random)
    , m_metrics(metrics)
    , m_monitoredStorage(m_storage, clock, metrics)
    , m_machine(state, [this](std::uint64_t index, std::uint64_t term, const CommandResult& result) { onApplied(index, term, result); })
    , m_log(options, clock, m_random, m_monitoredStorage, m_machine)
    , m_credentials(credentials)
    , m_deadlineWakeup(context)
    , m_announced(context)
    , m_firstElectionDeadline(clock.now() + firstElectionTimeout)
{
    if (seeds)
        m_joiner = std::make_unique<GroupJoiner>(context, GroupJoinerOptions { .name = options.name, .endpoint = options.endpoint, .log = m_log, .seeds = std::move(seeds), .credentials = credentials });
}

void ReplicatedCommandLog::start(std::function<void()> onChange)
{
    m_onChange = std::move(onChange);
    describeMetrics();
    co_spawn(
        m_context, [this] { return deadlineLoop(); }, detached);
    createPeerLinks();
    if (m_joiner)
        co_spawn(
            m_context, [this] { return m_joiner->run(); }, detached);
}

void ReplicatedCommandLog::createPeerLinks()
{
    for (const auto& peer : m_log.peers()) {
        auto& link = m_links[peer.name];
        if (link)
            continue;
        link = std::make_unique<PeerLink>(m_context, m_log, peer, m_credentials, m_clock, [this] { processLogEvent(); });
        co_spawn(
            m_context, [&link = *link] { return link.run(); }, detached);
    }
}

awaitable<void> ReplicatedCommandLog::leaveAndStop()
{
    co_await announceLeave();
    stop();
}

awaitable<void> ReplicatedCommandLog::announceLeave()
{
    const auto request = m_log.leaveGroup();
    processLogEvent();
    for (const auto& peer : m_log.peers()) {
        ++m_pendingAnnouncements;
        co_spawn(m_context, sendLeave(peer.endpoint, request), detached);
    }
    if (m_pendingAnnouncements)
        co_await m_announced.wait(leaveTimeout);
}

awaitable<void> ReplicatedCommandLog::sendLeave(std::string endpoint, schema::LeaveGroupRequest request)
{
    const auto stub = peerStub(endpoint, m_credentials);
    const bool cancel = false;
    if (!co_await callPeer<schema::LeaveGroupResponse>(m_context, *stub, &schema::Peers::Stub::async_interface::LeaveGroup, request, leaveTimeout, cancel))
        clementinesill::log(LogLevel::Info, "leave_not_announced", { { .key = "controller", .value = endpoint } });
    if (!--m_pendingAnnouncements)
        m_announced.wake();
}

void ReplicatedCommandLog::stop()
{
    m_stopping = true;
    m_deadlineWakeup.wake();
    if (m_joiner)
        m_joiner->stop();
    for (const auto& [name, link] : m_links)
        link->stop();
    abandonPendingCommands();
}

awaitable<void> ReplicatedCommandLog::deadlineLoop()
{
    while (!m_stopping) {
        processLogEvent();
        m_nextWakeup = m_log.nextDeadline();
        co_await m_deadlineWakeup.waitUntil(m_nextWakeup, m_clock);
        m_nextWakeup = MonotonicTime::min();
    }
}

awaitable<void> ReplicatedCommandLog::initializeFleet()
{
    schema::Command command;
    command.mutable_found_fleet()->set_hash_seed(m_random.next() | 1);
    co_await submit(std::move(command));
    m_initializingFleet = false;
}

awaitable<CommandResult> ReplicatedCommandLog::submit(schema::Command command)
{
    const auto serialized = command.SerializeAsString();
    // A name that is not UTF-8 can be serialized but not parsed.
    if (!schema::Command().ParseFromString(serialized))
        co_return CommandResult { .code = schema::Outcome::CODE_INVALID, .message = "the change cannot be parsed; use UTF-8 in all names" };
    const auto proposal = m_stopping ? Proposal { .reason = "this controller is shutting down" } : m_log.propose(serialized);
    if (!proposal.index) {
        const bool lacksQuorum = m_log.role() == ReplicaRole::Leader && !m_stopping;
        CommandResult rejected;
        rejected.code = lacksQuorum ? schema::Outcome::CODE_NO_QUORUM : schema::Outcome::CODE_NOT_LEADER;
        rejected.message = proposal.reason + "; ask the controller in leader_hint or another one";
        co_return rejected;
    }
    const auto pending = std::make_shared<PendingCommand>(PendingCommand { .term = proposal.term, .result = unknownOutcome(), .wakeup = Wakeup(m_context) });
    m_pendingCommands[proposal.index] = pending;
    scheduleFlush();
    const auto submitted = m_clock.now();
    co_await pending->wakeup.wait(submitTimeout);
    m_metrics.histogram("command_seconds", { { "outcome", schema::Outcome::Code_Name(pending->result.code) } }).record(std::chrono::duration<double>(m_clock.now() - submitted).count());
    if (!pending->done)
        m_pendingCommands.erase(proposal.index);
    co_return pending->result;
}

// One sync for all commands that arrive in one iteration of the event loop.
void ReplicatedCommandLog::scheduleFlush()
{
    if (m_flushScheduled)
        return;
    m_flushScheduled = true;
    boost::asio::post(m_context, [this] {
        m_flushScheduled = false;
        m_log.flush();
        processLogEvent();
    });
}

void ReplicatedCommandLog::onApplied(std::uint64_t index, std::uint64_t term, const CommandResult& result)
{
    const auto found = m_pendingCommands.find(index);
    if (found == m_pendingCommands.end())
        return;
    const auto pending = found->second;
    m_pendingCommands.erase(found);
    // An entry of another term is not the submitted command, whose outcome stays unknown.
    if (pending->term == term)
        pending->result = result;
    pending->done = true;
    pending->wakeup.wake();
}

void ReplicatedCommandLog::abandonPendingCommands()
{
    for (auto& [index, pending] : std::exchange(m_pendingCommands, {})) {
        pending->done = true;
        pending->wakeup.wake();
    }
}

// Called after each received message, flush and passed deadline. Ticks the log, publishes changes and sends the messages
// that are due.
void ReplicatedCommandLog::processLogEvent()
{
    if (m_stopping)
        return;
    m_log.tick();
    createPeerLinks();
    if (m_log.role() != ReplicaRole::Leader && !m_pendingCommands.empty())
        abandonPendingCommands();
    if (m_log.hasValidLease() && !m_state.hashSeed() && !m_initializingFleet) {
        m_initializingFleet = true;
        co_spawn(
            m_context, [this] { return initializeFleet(); }, detached);
    }
    publishChanges();
    publishRedundancy();
    publishStateLag();
    m_logBytes = m_log.entries().commandBytes();
    for (const auto& [name, link] : m_links)
        link->wake();
    // Keeps the timer at the log's deadline, so that it fires only when something is due.
    if (m_nextWakeup != MonotonicTime::min() && m_log.nextDeadline() != m_nextWakeup)
        m_deadlineWakeup.wake();
}

void ReplicatedCommandLog::publishChanges()
{
    const bool hasValidLease = m_log.hasValidLease();
    const bool hasLeader = m_log.hasLeader();
    const bool isUpToDate = m_log.isUpToDate();
    if (m_state.version() == m_publishedVersion && hasValidLease == m_hadValidLease && hasLeader == m_hadLeader && isUpToDate == m_wasUpToDate)
        return;
    m_publishedVersion = m_state.version();
    logLeadershipChanges(hasValidLease, hasLeader);
    m_hadValidLease = hasValidLease;
    m_hadLeader = hasLeader;
    m_wasUpToDate = isUpToDate;
    m_everHadLeader = m_everHadLeader || hasLeader;
    m_onChange();
}

// Logs when this controller gains or loses a valid lease, and when the group's leader is heard or lost.
void ReplicatedCommandLog::logLeadershipChanges(bool hasValidLease, bool hasLeader)
{
    const auto term = std::to_string(m_log.term());
    if (hasValidLease != m_hadValidLease)
        clementinesill::log(LogLevel::Info, hasValidLease ? "quorum_gained" : "quorum_lost", { { .key = "term", .value = term }, { .key = "commit_index", .value = std::to_string(m_log.commitIndex()) } });
    if (hasValidLease && !m_hadValidLease)
        ++m_metrics.counter("elections_won_total");
    if (hasLeader != m_hadLeader)
        clementinesill::log(hasLeader ? LogLevel::Info : LogLevel::Warn, hasLeader ? "leader_heard" : "leader_lost", { { .key = "term", .value = term }, { .key = "leader", .value = m_log.leaderEndpoint() }, { .key = logkey::version, .value = std::to_string(m_state.version()) } });
}

// Logs when the leader's view of the group changes: an operator needs to know of a missing controller before others fail too.
void ReplicatedCommandLog::publishRedundancy()
{
    const auto redundancy = m_log.redundancy();
    if (redundancy == m_publishedRedundancy)
        return;
    m_publishedRedundancy = redundancy;
    m_tolerableLosses = redundancy ? redundancy->tolerableLosses : -1;
    if (!redundancy)
        return;
    const bool complete = redundancy->responding == redundancy->voters;
    std::string silentVoters;
    for (const auto& name : m_log.silentVoters())
        silentVoters += (silentVoters.empty() ? "" : ", ") + name;
    clementinesill::log(complete ? LogLevel::Info : LogLevel::Warn, "group_redundancy", { { .key = "voters", .value = std::to_string(redundancy->voters) }, { .key = "responding", .value = std::to_string(redundancy->responding) }, { .key = "learners", .value = std::to_string(redundancy->learners) }, { .key = "tolerable_losses", .value = std::to_string(redundancy->tolerableLosses) }, { .key = "not_responding", .value = silentVoters } });
}

// Logs when this follower begins to lack changes that the leader has committed, for example because its disk is full, and when it
// no longer does.
void ReplicatedCommandLog::publishStateLag()
{
    const auto lag = m_log.stateLag();
    m_stateLagSeconds = std::chrono::duration<double>(lag).count();
    const bool lags = m_reportedStateLag ? lag > Duration::zero() : lag > stateLagThreshold;
    if (std::exchange(m_reportedStateLag, lags) == lags)
        return;
    const auto lagMs = std::chrono::duration_cast<std::chrono::milliseconds>(lag).count();
    clementinesill::log(lags ? LogLevel::Warn : LogLevel::Info, lags ? "state_behind" : "state_up_to_date", { { .key = logkey::version, .value = std::to_string(m_state.version()) }, { .key = "applied_index", .value = std::to_string(m_log.commitIndex()) }, { .key = "leader_commit_index", .value = std::to_string(m_log.leaderCommitIndex()) }, { .key = "lag_ms", .value = std::to_string(lagMs) }, { .key = "storage_failing", .value = m_monitoredStorage.isFailing() ? "true" : "false" } });
}

void ReplicatedCommandLog::describeMetrics()
{
    m_metrics.describe("log_sync_seconds", "time to make something durable");
    m_metrics.describe("command_seconds", "time from a command to its outcome, by outcome");
    m_metrics.describe("elections_won_total", "times that this controller began to lead with a quorum");
    m_metrics.describe("tolerable_losses", "voting controllers that the group could lose now and still have a majority; -1 unless this controller leads");
    m_metrics.describe("state_lag_seconds", "how long this controller has lacked changes that the leader has committed");
    m_metrics.addGauge("state_lag_seconds", {}, [this] { return m_stateLagSeconds.load(); });
    m_metrics.describe("log_entry_bytes", "size of the log entries that this controller holds in memory");
    m_metrics.addGauge("log_entry_bytes", {}, [this] { return static_cast<double>(m_logBytes); });
    m_metrics.addGauge("tolerable_losses", {}, [this] { return static_cast<double>(m_tolerableLosses); });
}

bool ReplicatedCommandLog::mayBeElectingFirstLeader() const
{
    return !m_everHadLeader && m_clock.now() < m_firstElectionDeadline;
}

std::vector<std::string> ReplicatedCommandLog::memberEndpoints() const
{
    std::vector<std::string> endpoints;
    if (const auto* membership = m_log.entries().membership()) {
        for (const auto& member : membership->members())
            endpoints.push_back(member.endpoint());
    }
    return endpoints;
}

void ReplicatedCommandLog::fillStatus(schema::StatusResponse& response) const
{
    auto& self = *response.mutable_self();
    self.set_id(m_options.name);
    self.set_endpoint(m_options.endpoint);
    self.set_role(std::string(name(m_log.role())));
    self.set_term(m_log.term());
    self.set_last_index(m_log.entries().lastIndex());
    self.set_commit_index(m_log.commitIndex());
    self.set_snapshot_index(m_log.entries().snapshot().last_index());
    self.set_lease_valid(hasValidLease());
    self.set_storage_failing(m_monitoredStorage.isFailing());
    const auto* membership = m_log.entries().membership();
    *response.add_controllers() = self;
    for (const auto& peer : m_log.peers()) {
        auto& status = *response.add_controllers();
        status.set_id(peer.name);
        status.set_endpoint(peer.endpoint);
        status.set_role(peer.endpoint == m_log.leaderEndpoint() ? "leader" : "learner");
        for (int index = 0; membership && index < membership->members_size(); ++index) {
            if (membership->members(index).name() == peer.name && status.role() != "leader")
                status.set_role("follower");
        }
        const auto found = m_log.replication().peers().find(peer.name);
        if (found != m_log.replication().peers().end())
            status.set_last_index(found->second.matchIndex);
    }
    std::sort(response.mutable_controllers()->begin(), response.mutable_controllers()->end(), [](const auto& left, const auto& right) { return left.id() < right.id(); });
}

} // namespace clementinesill::control

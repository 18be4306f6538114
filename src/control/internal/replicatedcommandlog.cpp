#include "control/internal/replicatedcommandlog.h"

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

// Time in which controllers that start together elect a leader: their VMs come back within a second, and two rounds of votes.
constexpr auto firstElectionTimeout = std::chrono::seconds(3);
// How long a command may take to be accepted before its outcome is called unknown.
constexpr auto submitTimeout = std::chrono::seconds(4);

CommandResult unknownOutcome()
{
    return { .code = schema::Outcome::CODE_UNKNOWN, .message = "whether the change is accepted is not known; send it again with the same request id" };
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
    , m_failStop(m_storage, clock, metrics)
    , m_machine(state, [this](std::uint64_t index, std::uint64_t term, const CommandResult& result) { onApplied(index, term, result); })
    , m_log(options, clock, m_random, m_failStop, m_machine)
    , m_credentials(credentials)
    , m_deadline(context)
    , m_firstElectionEnd(clock.now() + firstElectionTimeout)
{
    if (seeds)
        m_joiner = std::make_unique<GroupJoiner>(context, GroupJoinerOptions { .name = options.name, .endpoint = options.endpoint, .log = m_log, .seeds = std::move(seeds), .credentials = credentials });
}

void ReplicatedCommandLog::start(std::function<void()> changed)
{
    m_changed = std::move(changed);
    describeMetrics();
    co_spawn(
        m_context, [this] { return deadlineLoop(); }, detached);
    linkPeers();
    if (m_joiner)
        co_spawn(
            m_context, [this] { return m_joiner->run(); }, detached);
}

void ReplicatedCommandLog::linkPeers()
{
    for (const auto& peer : m_log.peers()) {
        auto& link = m_links[peer.name];
        if (link)
            continue;
        link = std::make_unique<PeerLink>(m_context, m_log, peer, m_credentials, m_clock, [this] { afterEvent(); });
        co_spawn(
            m_context, [&link = *link] { return link.run(); }, detached);
    }
}

void ReplicatedCommandLog::stop()
{
    m_stopping = true;
    m_deadline.wake();
    if (m_joiner)
        m_joiner->stop();
    for (const auto& [name, link] : m_links)
        link->stop();
    releaseWaiters();
}

awaitable<void> ReplicatedCommandLog::deadlineLoop()
{
    while (!m_stopping) {
        afterEvent();
        m_wakesAt = m_log.dueAt();
        co_await m_deadline.waitUntil(m_wakesAt, m_clock);
        m_wakesAt = MonotonicTime::min();
    }
}

awaitable<void> ReplicatedCommandLog::foundFleet()
{
    schema::Command command;
    command.mutable_found_fleet()->set_hash_seed(m_random.next() | 1);
    co_await submit(std::move(command));
    m_founding = false;
}

awaitable<CommandResult> ReplicatedCommandLog::submit(schema::Command command)
{
    const auto proposal = m_stopping ? Proposal { .reason = "this controller is stopping" } : m_log.propose(command.SerializeAsString());
    if (!proposal.index) {
        const bool leads = m_log.role() == ReplicaRole::Leader && !m_stopping;
        CommandResult refused;
        refused.code = leads ? schema::Outcome::CODE_NO_QUORUM : schema::Outcome::CODE_NOT_LEADER;
        refused.message = proposal.reason + "; ask the controller in leader_hint, or another";
        co_return refused;
    }
    const auto waiter = std::make_shared<Waiter>(Waiter { .term = proposal.term, .result = unknownOutcome(), .wakeup = Wakeup(m_context) });
    m_waiters[proposal.index] = waiter;
    flushSoon();
    const auto submitted = m_clock.now();
    co_await waiter->wakeup.wait(submitTimeout);
    m_metrics.histogram("command_seconds", { { "outcome", schema::Outcome::Code_Name(waiter->result.code) } }).record(std::chrono::duration<double>(m_clock.now() - submitted).count());
    if (!waiter->done)
        m_waiters.erase(proposal.index);
    co_return waiter->result;
}

// One sync for all commands that arrive in one turn of the loop.
void ReplicatedCommandLog::flushSoon()
{
    if (m_flushing)
        return;
    m_flushing = true;
    boost::asio::post(m_context, [this] {
        m_flushing = false;
        m_log.flush();
        afterEvent();
    });
}

void ReplicatedCommandLog::onApplied(std::uint64_t index, std::uint64_t term, const CommandResult& result)
{
    const auto found = m_waiters.find(index);
    if (found == m_waiters.end())
        return;
    const auto waiter = found->second;
    m_waiters.erase(found);
    // An entry of another term has taken the place: what became of the command is not known here.
    if (waiter->term == term)
        waiter->result = result;
    waiter->done = true;
    waiter->wakeup.wake();
}

void ReplicatedCommandLog::releaseWaiters()
{
    for (auto& [index, waiter] : std::exchange(m_waiters, {})) {
        waiter->done = true;
        waiter->wakeup.wake();
    }
}

// Something arrived or has come due: acts upon all that follows from it.
void ReplicatedCommandLog::afterEvent()
{
    if (m_stopping)
        return;
    m_log.tick();
    linkPeers();
    if (m_log.role() != ReplicaRole::Leader && !m_waiters.empty())
        releaseWaiters();
    if (m_log.leaseLive() && !m_state.hashSeed() && !m_founding) {
        m_founding = true;
        co_spawn(
            m_context, [this] { return foundFleet(); }, detached);
    }
    publishChanges();
    for (const auto& [name, link] : m_links)
        link->wake();
    // The timer follows the deadline, so that it fires only when something is due.
    if (m_wakesAt != MonotonicTime::min() && m_log.dueAt() != m_wakesAt)
        m_deadline.wake();
}

void ReplicatedCommandLog::publishChanges()
{
    const bool leading = m_log.leaseLive();
    const bool current = m_log.leaderHeard();
    if (m_state.version() == m_seenVersion && leading == m_seenLeading && current == m_seenCurrent)
        return;
    m_seenVersion = m_state.version();
    logOffice(leading, current);
    m_seenLeading = leading;
    m_seenCurrent = current;
    m_everCurrent = m_everCurrent || current;
    m_changed();
}

// Quorum and leader, lost and regained.
void ReplicatedCommandLog::logOffice(bool leading, bool current)
{
    const auto term = std::to_string(m_log.term());
    if (leading != m_seenLeading)
        clementinesill::log(LogLevel::Info, leading ? "quorum_gained" : "quorum_lost", { { .key = "term", .value = term }, { .key = "commit_index", .value = std::to_string(m_log.commitIndex()) } });
    if (leading && !m_seenLeading)
        ++m_metrics.counter("elections_won_total");
    if (current != m_seenCurrent)
        clementinesill::log(current ? LogLevel::Info : LogLevel::Warn, current ? "leader_heard" : "leader_lost", { { .key = "term", .value = term }, { .key = "leader", .value = m_log.leaderEndpoint() }, { .key = logkey::version, .value = std::to_string(m_state.version()) } });
}

void ReplicatedCommandLog::describeMetrics()
{
    m_metrics.describe("log_sync_seconds", "time to make something durable");
    m_metrics.describe("command_seconds", "time from a command to its outcome, by outcome");
    m_metrics.describe("elections_won_total", "times that this controller began to lead with a quorum");
}

bool ReplicatedCommandLog::mayBeElecting() const
{
    return !m_everCurrent && m_clock.now() < m_firstElectionEnd;
}

std::vector<std::string> ReplicatedCommandLog::members() const
{
    std::vector<std::string> endpoints;
    if (const auto* membership = m_log.entries().membership()) {
        for (const auto& member : membership->members())
            endpoints.push_back(member.endpoint());
    }
    return endpoints;
}

void ReplicatedCommandLog::describe(schema::StatusResponse& response) const
{
    auto& self = *response.mutable_self();
    self.set_id(m_options.name);
    self.set_endpoint(m_options.endpoint);
    self.set_role(std::string(name(m_log.role())));
    self.set_term(m_log.term());
    self.set_last_index(m_log.entries().lastIndex());
    self.set_commit_index(m_log.commitIndex());
    self.set_snapshot_index(m_log.entries().snapshot().last_index());
    self.set_lease_valid(leading());
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

#include "control/replicatedlog.h"

#include "control/ilogstorage.h"
#include "control/istatemachine.h"
#include "foundation/error.h"
#include "foundation/irandom.h"
#include "foundation/log.h"

#include <algorithm>
#include <array>

// Roles, proposals and the follower. Elections are in election.cpp, the leader's part in leader.cpp.

namespace clementinesill::control {

std::string_view name(ReplicaRole role)
{
    static constexpr std::array<std::string_view, 5> names { "learner", "follower", "pre-candidate", "candidate", "leader" };
    return names.at(static_cast<std::size_t>(role));
}

ReplicatedLog::ReplicatedLog(const ReplicatedLogOptions& options, const IClock& clock, IRandom& random, ILogStorage& storage, IStateMachine& machine)
    : m_options(options)
    , m_clock(clock)
    , m_random(random)
    , m_storage(storage)
    , m_machine(machine)
    , m_log(storage)
    , m_diskIdentity(0)
    , m_openedAt(clock.now())
    // The last contact with a leader is not stored, so a restarted controller waits as if it had just heard from one.
    , m_lastLeaderContact(clock.now())
    , m_planner({ .maxMembers = options.maxMembers, .spareMembers = options.spareMembers })
    , m_replication({}, 0)
    , m_absences(clock.now())
{
    auto stored = storage.open();
    m_diskIdentity = stored.diskIdentity;
    m_vote = stored.vote;
    m_replication = Replication(options.name, m_diskIdentity);
    m_log.load(std::move(stored.snapshot), std::move(stored.entries));
    // The group's first entry is stored before the first vote, so the log may hold a newer term.
    if (m_vote.term() < m_log.lastTerm()) {
        m_vote.set_term(m_log.lastTerm());
        m_vote.clear_voted_for();
    }
    if (m_log.snapshot().last_index())
        machine.restore(m_log.snapshot().state());
    m_commitIndex = m_log.snapshot().last_index();
    m_appliedIndex = m_commitIndex;
    logOpened();
    resetElectionTimeout();
    // The last leader need not wait for another leader's lease to expire.
    if (formerTerm())
        m_electionDeadline = clock.now();
    if (isBootstrapping() && m_options.peers.size() <= 1)
        bootstrapGroup();
}

void ReplicatedLog::logOpened() const
{
    std::string members;
    for (int index = 0; m_log.membership() && index < m_log.membership()->members_size(); ++index) {
        const auto& member = m_log.membership()->members(index);
        members += (index ? ", " : "") + member.name() + "/" + std::to_string(member.disk_identity());
    }
    log(LogLevel::Info, "log_opened", { { .key = "disk_identity", .value = std::to_string(m_diskIdentity) }, { .key = "term", .value = std::to_string(m_vote.term()) }, { .key = "voted_for", .value = m_vote.voted_for() }, { .key = "snapshot_index", .value = std::to_string(m_log.snapshot().last_index()) }, { .key = "last_index", .value = std::to_string(m_log.lastIndex()) }, { .key = "last_term", .value = std::to_string(m_log.lastTerm()) }, { .key = "entry_bytes", .value = std::to_string(m_log.commandBytes()) }, { .key = "members", .value = members } });
}

ReplicaRole ReplicatedLog::role() const
{
    if (m_role == ReplicaRole::Follower && !isMember())
        return ReplicaRole::Learner;
    return m_role;
}

template <typename Step>
void ReplicatedLog::runStep(Step step)
{
    try {
        step();
    } catch (const Error& error) {
        if (error.kind() != ErrorKind::Storage)
            throw;
        if (m_role == ReplicaRole::Leader)
            stepDown("its disk refuses writes");
        // Ends a candidacy, since a vote must be durable.
        m_role = ReplicaRole::Follower;
        resetElectionTimeout();
    }
}

void ReplicatedLog::tick()
{
    runStep([this] { checkDeadlines(); });
}

void ReplicatedLog::checkDeadlines()
{
    if (m_role == ReplicaRole::Leader) {
        flushEntries();
        updateMembership();
        if (!isVoter()) {
            stepDown("it is not a voting member any more");
            return;
        }
        if (m_clock.now() > stepDownDeadline())
            stepDown("no majority of the controllers responds");
        return;
    }
    if (isVoter() && m_clock.now() >= m_electionDeadline)
        startElection(ReplicaRole::PreCandidate);
}

MonotonicTime ReplicatedLog::nextDeadline() const
{
    if (m_role == ReplicaRole::Leader)
        return hasValidLease() ? leaseExpiry() : stepDownDeadline();
    const auto electionDeadline = isVoter() ? m_electionDeadline : MonotonicTime::max();
    if (!hasLeader())
        return electionDeadline;
    return std::min(electionDeadline, (isUpToDate() ? m_lastUpToDate : m_lastLeaseholderContact) + m_options.leaseDuration);
}

MonotonicTime ReplicatedLog::nextMessageTime(const std::string& peer) const
{
    if (isBootstrapping()) {
        const auto nextTime = m_nextDescribeTimes.find(peer);
        return nextTime == m_nextDescribeTimes.end() ? MonotonicTime::min() : nextTime->second;
    }
    if (m_role == ReplicaRole::Leader) {
        if (!isPeer(peer))
            return MonotonicTime::max();
        const auto& peers = m_replication.peers();
        const auto progress = peers.find(peer);
        const bool sentAll = progress != peers.end() && progress->second.nextIndex > m_log.lastIndex();
        return sentAll ? progress->second.nextHeartbeat : MonotonicTime::min();
    }
    const bool isRequestingVotes = m_role == ReplicaRole::PreCandidate || m_role == ReplicaRole::Candidate;
    return isRequestingVotes && decidingMember(peer) && !m_requestedVotes.contains(peer) ? MonotonicTime::min() : MonotonicTime::max();
}

std::optional<PeerMessage> ReplicatedLog::nextMessage(const std::string& peer)
{
    if (isBootstrapping())
        return nextDescribeRequest(peer);
    if (m_role == ReplicaRole::Leader) {
        std::optional<PeerMessage> message;
        runStep([&] { message = nextReplicationMessage(peer); });
        return message;
    }
    if (m_role == ReplicaRole::PreCandidate || m_role == ReplicaRole::Candidate)
        return nextVoteRequest(peer);
    return std::nullopt;
}

void ReplicatedLog::onResponse(const std::string& peer, const PeerMessage& message, const PeerResponse& response)
{
    runStep([&] { processResponse(peer, message, response); });
}

void ReplicatedLog::processResponse(const std::string& peer, const PeerMessage& message, const PeerResponse& response)
{
    if (const auto* vote = std::get_if<schema::VoteResponse>(&response))
        onVoteResponse(peer, std::get<schema::VoteRequest>(message.request), *vote);
    else if (const auto* append = std::get_if<schema::AppendResponse>(&response))
        onAppendResponse(peer, message, *append);
    else if (const auto* snapshot = std::get_if<schema::SnapshotResponse>(&response))
        onSnapshotResponse(peer, message, *snapshot);
    else if (const auto* description = std::get_if<schema::DescribeResponse>(&response))
        onDescribeResponse(peer, *description);
}

// Requests the vote again while the election lasts; the peer may be starting.
void ReplicatedLog::onFailure(const std::string& peer, const PeerMessage& message)
{
    if (std::holds_alternative<schema::VoteRequest>(message.request))
        m_requestedVotes.erase(peer);
}

schema::AppendResponse ReplicatedLog::onAppend(const schema::AppendRequest& request)
{
    rejectIfLeaving();
    schema::AppendResponse response;
    response.set_disk_identity(m_diskIdentity);
    if (request.term() < m_vote.term()) {
        response.set_term(m_vote.term());
        return response;
    }
    followLeader(request.term(), request.leader_endpoint(), request.lease_live());
    if (request.lease_live())
        m_leaderCommitIndex = request.commit_index();
    adoptContacts(request);
    response.set_term(m_vote.term());
    const auto previousIndex = request.previous_index();
    const auto localTerm = m_log.termAt(previousIndex);
    if (previousIndex > m_log.lastIndex()) {
        response.set_match_index(m_log.lastIndex());
        return response;
    }
    if (localTerm && *localTerm != request.previous_term()) {
        response.set_match_index(std::max(m_commitIndex, m_log.firstIndexWithTermOf(previousIndex) - 1));
        return response;
    }
    const std::vector<schema::LogEntry> entries(request.entries().begin(), request.entries().end());
    m_log.merge(entries);
    const auto matchIndex = previousIndex + entries.size();
    m_commitIndex = std::max(m_commitIndex, std::min(request.commit_index(), matchIndex));
    applyCommitted();
    if (request.lease_live() && m_appliedIndex >= request.commit_index())
        m_lastUpToDate = m_clock.now();
    response.set_success(true);
    response.set_match_index(matchIndex);
    return response;
}

void ReplicatedLog::adoptContacts(const schema::AppendRequest& request)
{
    const auto now = m_clock.now();
    m_absences.startReport(now);
    for (const auto& silent : request.silent_members())
        m_absences.reportSilence(silent.name(), std::chrono::milliseconds(silent.silent_ms()), now);
    m_joinedPeers.clear();
    for (const auto& learner : request.learners()) {
        m_joinedPeers[learner.name()] = { .name = learner.name(), .endpoint = learner.endpoint() };
        m_absences.reportSilence(learner.name(), std::chrono::milliseconds(learner.silent_ms()), now);
    }
}

schema::SnapshotResponse ReplicatedLog::onSnapshot(const schema::SnapshotRequest& request)
{
    rejectIfLeaving();
    schema::SnapshotResponse response;
    response.set_disk_identity(m_diskIdentity);
    if (request.term() < m_vote.term()) {
        response.set_term(m_vote.term());
        return response;
    }
    followLeader(request.term(), request.leader_endpoint(), false);
    response.set_term(m_vote.term());
    response.set_success(true);
    if (request.last_index() <= m_commitIndex)
        return response;
    schema::SnapshotRecord snapshot;
    if (!snapshot.ParseFromString(request.state())) {
        response.set_success(false);
        return response;
    }
    m_log.installSnapshot(std::move(snapshot));
    m_machine.restore(m_log.snapshot().state());
    m_commitIndex = m_log.snapshot().last_index();
    m_appliedIndex = m_commitIndex;
    return response;
}

void ReplicatedLog::followLeader(std::uint64_t term, const std::string& endpoint, bool leaderHasLease)
{
    adoptTerm(term);
    m_role = ReplicaRole::Follower;
    m_leaderEndpoint = endpoint;
    m_lastLeaderContact = m_clock.now();
    if (leaderHasLease)
        m_lastLeaseholderContact = m_lastLeaderContact;
    resetElectionTimeout();
}

Proposal ReplicatedLog::propose(const std::string& command)
{
    if (m_role != ReplicaRole::Leader)
        return { .reason = "this controller is not the leader" };
    if (!hasValidLease())
        return { .reason = "no majority of the controllers responds" };
    appendEntry(command, false);
    return { .index = m_log.lastIndex(), .term = m_vote.term(), .reason = {} };
}

void ReplicatedLog::appendEntry(const std::string& command, bool membership)
{
    schema::LogEntry entry;
    entry.set_index(m_log.lastIndex() + 1);
    entry.set_term(m_vote.term());
    entry.set_command(command);
    entry.set_membership(membership);
    entry.set_commit_index(m_commitIndex);
    m_log.append(std::move(entry));
}

void ReplicatedLog::flush()
{
    runStep([this] { flushEntries(); });
}

void ReplicatedLog::flushEntries()
{
    if (m_role != ReplicaRole::Leader)
        return;
    m_log.sync();
    advanceCommit();
}

void ReplicatedLog::applyCommitted()
{
    while (m_appliedIndex < m_commitIndex)
        m_machine.apply(m_log.at(++m_appliedIndex));
    if (needsSnapshot())
        m_log.compact(m_appliedIndex, m_machine.snapshot(), m_options.trailingEntries, m_options.trailingBytes);
}

bool ReplicatedLog::needsSnapshot() const
{
    const auto& snapshot = m_log.snapshot();
    const auto appliedSince = m_appliedIndex - snapshot.last_index();
    // A state that is larger than the limit is not written again before the log has grown by as much.
    const auto maximumBytes = std::max(m_options.snapshotBytes, m_options.trailingBytes + snapshot.state().size());
    return appliedSince >= m_options.snapshotEntries || (appliedSince && m_log.commandBytes() >= maximumBytes);
}

std::vector<ReplicaPeer> ReplicatedLog::peers() const
{
    std::map<std::string, ReplicaPeer> byName = m_joinedPeers;
    for (const auto& peer : m_options.peers)
        byName[peer.name] = peer;
    for (const auto* membership : decidingMemberships()) {
        for (const auto& member : membership->members())
            byName[member.name()] = { .name = member.name(), .endpoint = member.endpoint() };
    }
    byName.erase(m_options.name);
    std::vector<ReplicaPeer> peers;
    for (auto& [name, peer] : byName)
        peers.push_back(std::move(peer));
    return peers;
}

bool ReplicatedLog::isPeer(const std::string& name) const
{
    const auto& listed = m_options.peers;
    return decidingMember(name) || m_joinedPeers.contains(name) || std::any_of(listed.begin(), listed.end(), [&](const auto& peer) { return peer.name == name; });
}

schema::JoinResponse ReplicatedLog::onJoin(const schema::JoinRequest& request)
{
    schema::JoinResponse response;
    response.set_leader_endpoint(m_leaderEndpoint);
    if (!hasValidLease())
        return response;
    m_joinedPeers[request.name()] = { .name = request.name(), .endpoint = request.endpoint() };
    m_absences.recordResponse(request.name(), m_clock.now());
    response.set_accepted(true);
    return response;
}

// The leader takes an acknowledgement as a sign that this controller has been started again.
void ReplicatedLog::rejectIfLeaving() const
{
    if (m_leaving)
        throw Error(ErrorKind::Unavailable, "this controller is being stopped", "send the log again once it has restarted");
}

schema::LeaveGroupRequest ReplicatedLog::leaveGroup()
{
    m_leaving = true;
    if (m_role == ReplicaRole::Leader)
        stepDown("it is being stopped");
    schema::LeaveGroupRequest request;
    request.set_name(m_options.name);
    request.set_endpoint(m_options.endpoint);
    request.set_term(m_vote.term());
    return request;
}

schema::LeaveGroupResponse ReplicatedLog::onLeaveGroup(const schema::LeaveGroupRequest& request)
{
    m_absences.recordDeparture(request.name(), m_clock.now());
    const bool wasLeader = m_role == ReplicaRole::Follower && request.term() == m_vote.term() && request.endpoint() == m_leaderEndpoint;
    log(LogLevel::Info, "controller_leaves", { { .key = "controller", .value = request.name() }, { .key = "was_leader", .value = wasLeader ? "true" : "false" } });
    if (!wasLeader)
        return {};
    m_leaderEndpoint.clear();
    m_lastLeaderContact = {};
    m_lastLeaseholderContact = {};
    startElectionSoon();
    return {};
}

bool ReplicatedLog::hasValidLease() const
{
    if (m_role != ReplicaRole::Leader || m_commitIndex < m_termStartIndex || !m_log.membership())
        return false;
    return leaseExpiry() > m_clock.now();
}

MonotonicTime ReplicatedLog::leaseExpiry() const
{
    return lastQuorumContact() + m_options.leaseDuration;
}

bool ReplicatedLog::hasLeader() const
{
    if (hasValidLease())
        return true;
    return m_role == ReplicaRole::Follower && m_lastLeaseholderContact + m_options.leaseDuration > m_clock.now();
}

bool ReplicatedLog::isUpToDate() const
{
    return hasValidLease() || (hasLeader() && m_lastUpToDate + m_options.leaseDuration > m_clock.now());
}

Duration ReplicatedLog::stateLag() const
{
    const bool hearsLeader = hasLeader() && m_role != ReplicaRole::Leader;
    return hearsLeader && m_leaderCommitIndex > m_appliedIndex ? m_clock.now() - std::max(m_lastUpToDate, m_openedAt) : Duration::zero();
}

} // namespace clementinesill::control

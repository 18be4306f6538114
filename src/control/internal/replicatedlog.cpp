#include "control/replicatedlog.h"

#include "control/ilogstorage.h"
#include "control/istatemachine.h"
#include "foundation/error.h"
#include "foundation/irandom.h"
#include "foundation/log.h"

#include <algorithm>
#include <array>

// Roles, proposals, and what a follower does. The election is in election.cpp, the leader's side in leader.cpp.

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
    // A restarted controller has forgotten whom it heard; it waits as if it had just heard a leader.
    , m_leaderContact(clock.now())
    , m_replication({}, 0)
{
    auto stored = storage.open();
    m_diskIdentity = stored.diskIdentity;
    m_vote = stored.vote;
    m_replication = Replication(options.name, m_diskIdentity);
    m_log.load(std::move(stored.snapshot), std::move(stored.entries));
    // The group's first entry is stored before the first vote.
    if (m_vote.term() < m_log.lastTerm()) {
        m_vote.set_term(m_log.lastTerm());
        m_vote.clear_voted_for();
    }
    if (m_log.snapshot().last_index())
        machine.restore(m_log.snapshot().state());
    m_commitIndex = m_log.snapshot().last_index();
    m_appliedIndex = m_commitIndex;
    resetElectionTimeout();
    // Whoever led last need not wait for a lease of another.
    if (formerTerm())
        m_electionDeadline = clock.now();
    if (formsGroup() && m_options.peers.size() <= 1)
        formGroup();
}

ReplicaRole ReplicatedLog::role() const
{
    if (m_role == ReplicaRole::Follower && !isMember())
        return ReplicaRole::Learner;
    return m_role;
}

void ReplicatedLog::tick()
{
    if (m_role == ReplicaRole::Leader) {
        flush();
        reviewMembership();
        if (m_clock.now() > majorityLostAt())
            stepDown();
        return;
    }
    if (isMember() && m_clock.now() >= m_electionDeadline)
        startVoting(ReplicaRole::PreCandidate);
}

MonotonicTime ReplicatedLog::dueAt() const
{
    if (m_role == ReplicaRole::Leader)
        return leaseLive() ? leaseEnd() : majorityLostAt();
    const auto election = isMember() ? m_electionDeadline : MonotonicTime::max();
    return leaderHeard() ? std::min(election, m_leaseContact + m_options.lease) : election;
}

MonotonicTime ReplicatedLog::messageDueAt(const std::string& peer) const
{
    if (formsGroup()) {
        const auto described = m_nextDescribe.find(peer);
        return described == m_nextDescribe.end() ? MonotonicTime::min() : described->second;
    }
    if (m_role == ReplicaRole::Leader) {
        const auto& known = m_replication.peers();
        const auto progress = known.find(peer);
        const bool sentAll = progress != known.end() && progress->second.nextIndex > m_log.lastIndex();
        return sentAll ? progress->second.nextHeartbeat : MonotonicTime::min();
    }
    const bool asks = m_role == ReplicaRole::PreCandidate || m_role == ReplicaRole::Candidate;
    return asks && member(peer) && !m_asked.contains(peer) ? MonotonicTime::min() : MonotonicTime::max();
}

std::optional<PeerMessage> ReplicatedLog::nextMessage(const std::string& peer)
{
    if (formsGroup())
        return nextDescribeRequest(peer);
    if (m_role == ReplicaRole::Leader)
        return nextAppend(peer);
    if (m_role == ReplicaRole::PreCandidate || m_role == ReplicaRole::Candidate)
        return nextVoteRequest(peer);
    return std::nullopt;
}

void ReplicatedLog::onAnswer(const std::string& peer, const PeerMessage& message, const PeerAnswer& answer)
{
    if (const auto* vote = std::get_if<schema::VoteResponse>(&answer))
        onVoteAnswer(peer, std::get<schema::VoteRequest>(message.request), *vote);
    else if (const auto* append = std::get_if<schema::AppendResponse>(&answer))
        onAppendAnswer(peer, message, *append);
    else if (const auto* snapshot = std::get_if<schema::SnapshotResponse>(&answer))
        onSnapshotAnswer(peer, message, *snapshot);
    else if (const auto* description = std::get_if<schema::DescribeResponse>(&answer))
        onDescribeAnswer(peer, *description);
}

// A vote is asked for again while the election lasts: the peer may be starting.
void ReplicatedLog::onFailure(const std::string& peer, const PeerMessage& message)
{
    if (std::holds_alternative<schema::VoteRequest>(message.request))
        m_asked.erase(peer);
}

schema::AppendResponse ReplicatedLog::onAppend(const schema::AppendRequest& request)
{
    schema::AppendResponse response;
    response.set_disk_identity(m_diskIdentity);
    if (request.term() < m_vote.term()) {
        response.set_term(m_vote.term());
        return response;
    }
    followLeader(request.term(), request.leader_endpoint(), request.lease_live());
    response.set_term(m_vote.term());
    const auto previous = request.previous_index();
    const auto heldTerm = m_log.termAt(previous);
    if (previous > m_log.lastIndex()) {
        response.set_match_index(m_log.lastIndex());
        return response;
    }
    if (heldTerm && *heldTerm != request.previous_term()) {
        response.set_match_index(std::max(m_commitIndex, m_log.firstOfTerm(previous) - 1));
        return response;
    }
    const std::vector<schema::LogEntry> entries(request.entries().begin(), request.entries().end());
    m_log.merge(entries);
    const auto matched = previous + entries.size();
    m_commitIndex = std::max(m_commitIndex, std::min(request.commit_index(), matched));
    applyCommitted();
    response.set_success(true);
    response.set_match_index(matched);
    return response;
}

schema::SnapshotResponse ReplicatedLog::onSnapshot(const schema::SnapshotRequest& request)
{
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
    m_log.install(std::move(snapshot));
    m_machine.restore(m_log.snapshot().state());
    m_commitIndex = m_log.snapshot().last_index();
    m_appliedIndex = m_commitIndex;
    return response;
}

void ReplicatedLog::followLeader(std::uint64_t term, const std::string& endpoint, bool leaseLive)
{
    adoptTerm(term);
    m_role = ReplicaRole::Follower;
    m_leaderEndpoint = endpoint;
    m_leaderContact = m_clock.now();
    if (leaseLive)
        m_leaseContact = m_leaderContact;
    resetElectionTimeout();
}

Proposal ReplicatedLog::propose(const std::string& command)
{
    if (m_role != ReplicaRole::Leader)
        return { .reason = "this controller does not lead" };
    if (!leaseLive())
        return { .reason = "no majority of the controllers answers" };
    push(command, false);
    return { .index = m_log.lastIndex(), .term = m_vote.term(), .reason = {} };
}

void ReplicatedLog::push(const std::string& command, bool membership)
{
    schema::LogEntry entry;
    entry.set_index(m_log.lastIndex() + 1);
    entry.set_term(m_vote.term());
    entry.set_command(command);
    entry.set_membership(membership);
    m_log.push(std::move(entry));
}

void ReplicatedLog::flush()
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
    if (m_appliedIndex - m_log.snapshot().last_index() >= m_options.snapshotEntries)
        m_log.compact(m_appliedIndex, m_machine.snapshot(), m_options.keptEntries);
}

std::vector<ReplicaPeer> ReplicatedLog::peers() const
{
    std::map<std::string, ReplicaPeer> known = m_joined;
    for (const auto& peer : m_options.peers)
        known[peer.name] = peer;
    if (const auto* membership = m_log.membership()) {
        for (const auto& member : membership->members())
            known[member.name()] = { .name = member.name(), .endpoint = member.endpoint() };
    }
    known.erase(m_options.name);
    std::vector<ReplicaPeer> peers;
    for (auto& [name, peer] : known)
        peers.push_back(std::move(peer));
    return peers;
}

schema::JoinResponse ReplicatedLog::onJoin(const schema::JoinRequest& request)
{
    schema::JoinResponse response;
    response.set_leader_endpoint(m_leaderEndpoint);
    if (!leaseLive())
        return response;
    m_joined[request.name()] = { .name = request.name(), .endpoint = request.endpoint() };
    response.set_accepted(true);
    return response;
}

bool ReplicatedLog::leaseLive() const
{
    if (m_role != ReplicaRole::Leader || m_commitIndex < m_termStart || !m_log.membership())
        return false;
    return leaseEnd() > m_clock.now();
}

MonotonicTime ReplicatedLog::leaseEnd() const
{
    return m_replication.majoritySend(*m_log.membership(), m_clock.now()) + m_options.lease;
}

bool ReplicatedLog::leaderHeard() const
{
    if (leaseLive())
        return true;
    return m_role == ReplicaRole::Follower && m_leaseContact + m_options.lease > m_clock.now();
}

} // namespace clementinesill::control

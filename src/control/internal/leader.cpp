#include "control/replicatedlog.h"
#include "foundation/log.h"

#include <algorithm>

// What a leader does: replication, commit, and the members' data folders.

namespace clementinesill::control {

std::optional<PeerMessage> ReplicatedLog::nextAppend(const std::string& peer)
{
    flush();
    auto& progress = m_replication.peer(peer);
    const auto now = m_clock.now();
    if (progress.nextIndex > m_log.lastIndex() && now < progress.nextHeartbeat)
        return std::nullopt;
    progress.nextHeartbeat = now + m_options.heartbeat;
    if (progress.nextIndex <= m_log.baseIndex() && m_log.baseIndex())
        return PeerMessage { .request = snapshotRequest(), .sent = now };
    schema::AppendRequest request;
    request.set_term(m_vote.term());
    request.set_leader(m_options.name);
    request.set_leader_endpoint(m_options.endpoint);
    request.set_previous_index(progress.nextIndex - 1);
    request.set_previous_term(*m_log.termAt(progress.nextIndex - 1));
    for (auto& entry : m_log.from(progress.nextIndex, m_options.batchBytes))
        request.mutable_entries()->Add(std::move(entry));
    request.set_commit_index(m_commitIndex);
    request.set_lease_live(leaseLive());
    return PeerMessage { .request = std::move(request), .sent = now };
}

schema::SnapshotRequest ReplicatedLog::snapshotRequest() const
{
    schema::SnapshotRequest request;
    request.set_term(m_vote.term());
    request.set_leader(m_options.name);
    request.set_leader_endpoint(m_options.endpoint);
    request.set_last_index(m_log.snapshot().last_index());
    request.set_last_term(m_log.snapshot().last_term());
    request.set_state(m_log.snapshot().SerializeAsString());
    return request;
}

void ReplicatedLog::onAppendAnswer(const std::string& peer, const PeerMessage& message, const schema::AppendResponse& response)
{
    adoptTerm(response.term());
    const auto& request = std::get<schema::AppendRequest>(message.request);
    if (m_role != ReplicaRole::Leader || request.term() != m_vote.term() || response.term() != m_vote.term())
        return;
    m_replication.noteIdentity(peer, response.disk_identity());
    auto& progress = m_replication.peer(peer);
    if (response.success()) {
        noteAcknowledgement(peer, response.match_index(), message.sent);
        return;
    }
    progress.acknowledgedSend = std::max(progress.acknowledgedSend, message.sent);
    progress.nextIndex = std::min(request.previous_index(), response.match_index() + 1);
    progress.nextIndex = std::max<std::uint64_t>(progress.nextIndex, 1);
    progress.nextHeartbeat = m_clock.now();
}

void ReplicatedLog::onSnapshotAnswer(const std::string& peer, const PeerMessage& message, const schema::SnapshotResponse& response)
{
    adoptTerm(response.term());
    const auto& request = std::get<schema::SnapshotRequest>(message.request);
    if (m_role != ReplicaRole::Leader || request.term() != m_vote.term() || !response.success())
        return;
    m_replication.noteIdentity(peer, response.disk_identity());
    noteAcknowledgement(peer, request.last_index(), message.sent);
}

void ReplicatedLog::noteAcknowledgement(const std::string& peer, std::uint64_t matchIndex, MonotonicTime sent)
{
    auto& progress = m_replication.peer(peer);
    progress.matchIndex = std::max(progress.matchIndex, matchIndex);
    progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
    progress.acknowledgedSend = std::max(progress.acknowledgedSend, sent);
    advanceCommit();
}

void ReplicatedLog::advanceCommit()
{
    const auto* membership = m_log.membership();
    if (!membership)
        return;
    const auto held = m_replication.majorityIndex(*membership, m_log.syncedIndex());
    if (held <= m_commitIndex || m_log.termAt(held) != m_vote.term())
        return;
    m_commitIndex = held;
    // Followers learn at once what is committed.
    for (const auto& peer : peers())
        m_replication.peer(peer.name).nextHeartbeat = m_clock.now();
    applyCommitted();
}

// A leader that no majority answers steps down then.
MonotonicTime ReplicatedLog::majorityLostAt() const
{
    const auto heard = m_replication.majoritySend(*m_log.membership(), m_clock.now());
    return std::max(m_leadingSince, heard) + m_options.longestElectionTimeout;
}

void ReplicatedLog::stepDown()
{
    m_role = ReplicaRole::Follower;
    m_leaderEndpoint.clear();
    resetElectionTimeout();
    log(LogLevel::Warn, "leader_stepped_down", { { .key = "reason", .value = "no majority of the controllers answers" } });
}

// Members change one at a time, each change once the one before is committed: any two majorities in force at the same time
// then share a member.
void ReplicatedLog::reviewMembership()
{
    if (!leaseLive() || m_log.membershipIndex() > m_commitIndex)
        return;
    for (const auto& peer : peers()) {
        if (reviewPeer(peer))
            return;
    }
}

bool ReplicatedLog::reviewPeer(const ReplicaPeer& peer)
{
    const auto& progress = m_replication.peer(peer.name);
    if (!progress.diskIdentity)
        return false;
    auto membership = *m_log.membership();
    const auto* known = member(peer.name);
    if (known && known->disk_identity() == progress.diskIdentity)
        return false;
    if (known) {
        if (!quorumWithout(peer.name))
            return false;
        // It goes on as a learner, and is admitted again once it holds the log.
        m_joined[peer.name] = peer;
        removeMember(peer.name, "it lost its data folder");
        return true;
    }
    // A learner votes once it holds all that is committed.
    const bool heard = progress.acknowledgedSend + m_options.shortestElectionTimeout > m_clock.now();
    if (progress.matchIndex < m_commitIndex || !heard)
        return false;
    if (membership.members_size() >= m_options.memberLimit)
        return makeRoom();
    auto& added = *membership.add_members();
    added.set_name(peer.name);
    added.set_endpoint(peer.endpoint);
    added.set_disk_identity(progress.diskIdentity);
    log(LogLevel::Info, "member_admitted", { { .key = "member", .value = peer.name } });
    proposeMembership(membership);
    return true;
}

// A group that is full gives the place of a member that is lost to a controller that waits. The member may be back later and
// then waits in its turn.
bool ReplicatedLog::makeRoom()
{
    const auto since = m_clock.now() - m_options.memberAbsence;
    if (m_leadingSince > since)
        return false;
    for (const auto& member : m_log.membership()->members()) {
        if (m_replication.activeSince(member, since) || !quorumWithout(member.name()))
            continue;
        removeMember(member.name(), "it was not heard for too long and another controller waits for its place");
        return true;
    }
    return false;
}

void ReplicatedLog::removeMember(const std::string& name, const char* reason)
{
    auto membership = *m_log.membership();
    auto& members = *membership.mutable_members();
    members.erase(std::remove_if(members.begin(), members.end(), [&](const auto& member) { return member.name() == name; }), members.end());
    log(LogLevel::Warn, "member_removed", { { .key = "member", .value = name }, { .key = "reason", .value = reason } });
    proposeMembership(membership);
}

bool ReplicatedLog::quorumWithout(const std::string& name) const
{
    const auto& members = m_log.membership()->members();
    const auto since = m_clock.now() - m_options.shortestElectionTimeout;
    const auto active = std::count_if(members.begin(), members.end(), [&](const auto& member) {
        return member.name() != name && m_replication.activeSince(member, since);
    });
    return active > (members.size() - 1) / 2;
}

void ReplicatedLog::proposeMembership(const schema::Membership& membership)
{
    schema::Command command;
    *command.mutable_membership() = membership;
    push(command.SerializeAsString(), true);
    flush();
}

} // namespace clementinesill::control

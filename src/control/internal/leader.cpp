#include "control/replicatedlog.h"
#include "foundation/log.h"

#include <algorithm>
#include <array>
#include <utility>

// The leader: replication, commit and membership changes.

namespace clementinesill::control {

namespace {

// Logged, indexed by AdmissionObstacle.
constexpr std::array<const char*, 5> admissionObstacles {
    "",
    "it does not respond",
    "it is being stopped",
    "it does not hold all committed entries",
    "the group has no place for it",
};

} // namespace

std::optional<PeerMessage> ReplicatedLog::nextReplicationMessage(const std::string& peer)
{
    if (!isPeer(peer))
        return std::nullopt;
    flushEntries();
    auto& progress = m_replication.peer(peer);
    const auto now = m_clock.now();
    if (progress.nextIndex > m_log.lastIndex() && now < progress.nextHeartbeat)
        return std::nullopt;
    progress.nextHeartbeat = now + m_options.heartbeatInterval;
    if (progress.nextIndex <= m_log.baseIndex() && m_log.baseIndex())
        return PeerMessage { .request = snapshotRequest(), .sentAt = now };
    return PeerMessage { .request = appendRequest(progress.nextIndex), .sentAt = now };
}

schema::AppendRequest ReplicatedLog::appendRequest(std::uint64_t nextIndex) const
{
    schema::AppendRequest request;
    request.set_term(m_vote.term());
    request.set_leader(m_options.name);
    request.set_leader_endpoint(m_options.endpoint);
    request.set_previous_index(nextIndex - 1);
    request.set_previous_term(*m_log.termAt(nextIndex - 1));
    for (auto& entry : m_log.entriesFrom(nextIndex, m_options.maxBatchBytes))
        request.mutable_entries()->Add(std::move(entry));
    request.set_commit_index(m_commitIndex);
    request.set_lease_live(hasValidLease());
    for (const auto& [name, learner] : m_joinedPeers) {
        if (!member(name))
            *request.add_learners() = contact(name, learner.endpoint);
    }
    const auto since = m_clock.now() - m_options.minElectionTimeout;
    for (const auto& member : m_log.membership()->members()) {
        if (member.name() != m_options.name && m_absences.lastResponse(member.name()) < since)
            *request.add_silent_members() = contact(member.name(), member.endpoint());
    }
    return request;
}

schema::ControllerContact ReplicatedLog::contact(const std::string& name, const std::string& endpoint) const
{
    const auto silence = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_absences.lastResponse(name));
    schema::ControllerContact contact;
    contact.set_name(name);
    contact.set_endpoint(endpoint);
    contact.set_silent_ms(static_cast<std::uint64_t>(std::max<std::chrono::milliseconds::rep>(silence.count(), 0)));
    return contact;
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

void ReplicatedLog::onAppendResponse(const std::string& peer, const PeerMessage& message, const schema::AppendResponse& response)
{
    adoptTerm(response.term());
    const auto& request = std::get<schema::AppendRequest>(message.request);
    if (m_role != ReplicaRole::Leader || request.term() != m_vote.term() || response.term() != m_vote.term())
        return;
    recordDiskIdentity(peer, response.disk_identity());
    auto& progress = m_replication.peer(peer);
    progress.caughtUp = response.success() && response.match_index() >= request.commit_index();
    if (response.success()) {
        recordAcknowledgement(peer, response.match_index(), message.sentAt);
        return;
    }
    progress.acknowledgedSendTime = std::max(progress.acknowledgedSendTime, message.sentAt);
    m_absences.recordResponse(peer, message.sentAt);
    progress.nextIndex = std::min(request.previous_index(), response.match_index() + 1);
    progress.nextIndex = std::max<std::uint64_t>(progress.nextIndex, 1);
    progress.nextHeartbeat = m_clock.now();
}

void ReplicatedLog::onSnapshotResponse(const std::string& peer, const PeerMessage& message, const schema::SnapshotResponse& response)
{
    adoptTerm(response.term());
    const auto& request = std::get<schema::SnapshotRequest>(message.request);
    if (m_role != ReplicaRole::Leader || request.term() != m_vote.term() || !response.success())
        return;
    recordDiskIdentity(peer, response.disk_identity());
    recordAcknowledgement(peer, request.last_index(), message.sentAt);
}

void ReplicatedLog::recordDiskIdentity(const std::string& name, std::uint64_t diskIdentity)
{
    m_replication.updateDiskIdentity(name, diskIdentity);
    const auto* known = member(name);
    if (known && diskIdentity && known->disk_identity() != diskIdentity)
        m_lostDisks.insert(known->disk_identity());
}

void ReplicatedLog::recordAcknowledgement(const std::string& peer, std::uint64_t matchIndex, MonotonicTime sentAt)
{
    auto& progress = m_replication.peer(peer);
    progress.matchIndex = std::max(progress.matchIndex, matchIndex);
    progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
    progress.acknowledgedSendTime = std::max(progress.acknowledgedSendTime, sentAt);
    m_absences.recordResponse(peer, sentAt);
    advanceCommit();
}

void ReplicatedLog::advanceCommit()
{
    if (!m_log.membership())
        return;
    const auto quorumIndex = lastQuorumIndex();
    if (quorumIndex <= m_commitIndex || m_log.termAt(quorumIndex) != m_vote.term())
        return;
    m_commitIndex = quorumIndex;
    // Sends the new commit index to the followers at once, without waiting for the next heartbeat.
    for (const auto& peer : peers())
        m_replication.peer(peer.name).nextHeartbeat = m_clock.now();
    applyCommitted();
}

std::uint64_t ReplicatedLog::lastQuorumIndex() const
{
    auto index = m_log.lastIndex();
    for (const auto* membership : decidingMemberships())
        index = std::min(index, m_replication.quorumIndex(*membership, quorumSize(*membership), m_log.syncedIndex()));
    return index;
}

MonotonicTime ReplicatedLog::lastQuorumContact() const
{
    auto contact = MonotonicTime::max();
    for (const auto* membership : decidingMemberships())
        contact = std::min(contact, m_replication.quorumSendTime(*membership, quorumSize(*membership), m_clock.now()));
    return contact;
}

// Time at which the leader steps down if no majority has responded by then.
MonotonicTime ReplicatedLog::stepDownDeadline() const
{
    return std::max(m_leaderSince, lastQuorumContact()) + m_options.maxElectionTimeout;
}

void ReplicatedLog::stepDown(const char* reason)
{
    m_role = ReplicaRole::Follower;
    m_leaderEndpoint.clear();
    resetElectionTimeout();
    log(LogLevel::Warn, "leader_stepped_down", { { .key = "reason", .value = reason } });
}

// Proposes a change only after the previous one is committed. Until a change is committed, quorums of the members before and after
// it are required (decidingMemberships()), so that it may concern several members.
void ReplicatedLog::updateMembership()
{
    if (!hasValidLease() || m_log.membershipIndex() > m_commitIndex)
        return;
    // The next entry tells the members that the change is committed, also after they were restarted.
    if (isJointChange() && m_log.recordedCommitIndex() < m_log.membershipIndex()) {
        appendEntry({}, false);
        flushEntries();
    }
    forgetSilentLearners();
    const GroupState group { .members = memberStates(), .halfMayDecide = m_log.membership()->half_may_decide(), .removedMemberMayReturn = m_log.membership()->removed_members_may_return() && hasLearnerThatMayReturn(), .learners = admissibleLearners() };
    if (const auto change = m_planner.nextChange(group)) {
        proposeMembership(*change);
        return;
    }
    for (const auto& learner : group.learners)
        recordAdmissionObstacle(learner.name(), AdmissionObstacle::NoPlace);
}

std::vector<MemberState> ReplicatedLog::memberStates()
{
    const auto since = m_clock.now() - m_options.minElectionTimeout;
    std::vector<MemberState> states;
    for (const auto& member : m_log.membership()->members()) {
        auto& state = states.emplace_back(MemberState { .member = member });
        const bool hasDeparted = m_absences.hasDeparted(member.name(), m_clock.now());
        state.isResponding = m_replication.isActiveSince(member, since) && !hasDeparted;
        state.isSilent = !state.isResponding && (hasDeparted || isSilentFor(member, m_options.minElectionTimeout));
        state.isAbsent = hasDeparted || isSilentFor(member, m_options.memberAbsenceTimeout);
        const auto identity = m_replication.peer(member.name()).diskIdentity;
        state.hasLostDataFolder = member.name() != m_options.name && identity && identity != member.disk_identity();
    }
    return states;
}

bool ReplicatedLog::hasLearnerThatMayReturn() const
{
    const auto now = m_clock.now();
    return std::any_of(m_joinedPeers.begin(), m_joinedPeers.end(), [&](const auto& entry) {
        const auto lastResponse = m_absences.lastResponse(entry.first);
        return !member(entry.first) && lastResponse < now - m_options.minElectionTimeout && lastResponse > now - m_options.memberReturnTimeout;
    });
}

bool ReplicatedLog::isSilentFor(const schema::Member& member, Duration duration) const
{
    const auto now = m_clock.now();
    const bool hadTimeToRespond = m_leaderSince + std::min(duration, m_options.maxElectionTimeout) <= now;
    return hadTimeToRespond && member.name() != m_options.name && m_absences.lastResponse(member.name()) <= now - duration;
}

std::vector<schema::Member> ReplicatedLog::admissibleLearners()
{
    std::vector<schema::Member> learners;
    for (const auto& peer : peers()) {
        const auto diskIdentity = m_replication.peer(peer.name).diskIdentity;
        const auto* existing = member(peer.name);
        if (!diskIdentity || (existing && existing->disk_identity() == diskIdentity))
            continue;
        const auto obstacle = admissionObstacle(peer.name);
        if (obstacle != AdmissionObstacle::None) {
            recordAdmissionObstacle(peer.name, obstacle);
            continue;
        }
        auto& learner = learners.emplace_back();
        learner.set_name(peer.name);
        learner.set_endpoint(peer.endpoint);
        learner.set_disk_identity(diskIdentity);
    }
    return learners;
}

void ReplicatedLog::forgetSilentLearners()
{
    const auto since = m_clock.now() - m_options.learnerAbsenceTimeout;
    std::erase_if(m_joinedPeers, [&](const auto& entry) { return !member(entry.first) && m_absences.lastResponse(entry.first) < since; });
}

ReplicatedLog::AdmissionObstacle ReplicatedLog::admissionObstacle(const std::string& learner) const
{
    const auto& progress = m_replication.peers().at(learner);
    if (progress.acknowledgedSendTime + m_options.minElectionTimeout <= m_clock.now())
        return AdmissionObstacle::NotResponding;
    if (m_absences.hasDeparted(learner, m_clock.now()))
        return AdmissionObstacle::BeingStopped;
    return progress.caughtUp ? AdmissionObstacle::None : AdmissionObstacle::LogBehind;
}

// Logs the obstacle if it has changed.
void ReplicatedLog::recordAdmissionObstacle(const std::string& learner, AdmissionObstacle obstacle)
{
    if (std::exchange(m_admissionObstacles[learner], obstacle) == obstacle)
        return;
    const auto& progress = m_replication.peers().at(learner);
    log(LogLevel::Info, "learner_waiting", { { .key = "learner", .value = learner }, { .key = logkey::reason, .value = admissionObstacles.at(static_cast<std::size_t>(obstacle)) }, { .key = "match_index", .value = std::to_string(progress.matchIndex) }, { .key = "commit_index", .value = std::to_string(m_commitIndex) } });
}

std::optional<GroupRedundancy> ReplicatedLog::redundancy() const
{
    if (!hasValidLease())
        return std::nullopt;
    const auto& members = m_log.membership()->members();
    const auto since = m_clock.now() - m_options.minElectionTimeout;
    GroupRedundancy redundancy { .voters = members.size() };
    redundancy.responding = static_cast<int>(std::count_if(members.begin(), members.end(), [&](const auto& member) { return m_replication.isActiveSince(member, since); }));
    redundancy.learners = static_cast<int>(std::count_if(m_joinedPeers.begin(), m_joinedPeers.end(), [&](const auto& entry) { return !member(entry.first); }));
    redundancy.tolerableLosses = std::max(0, redundancy.responding - (redundancy.voters / 2 + 1));
    return redundancy;
}

std::vector<std::string> ReplicatedLog::silentVoters() const
{
    std::vector<std::string> names;
    if (!hasValidLease())
        return names;
    const auto since = m_clock.now() - m_options.minElectionTimeout;
    for (const auto& member : m_log.membership()->members()) {
        if (!m_replication.isActiveSince(member, since))
            names.push_back(member.name());
    }
    return names;
}

void ReplicatedLog::proposeMembership(const MembershipChange& change)
{
    for (const auto& name : change.removed) {
        log(LogLevel::Warn, "member_removed", { { .key = "member", .value = name }, { .key = logkey::reason, .value = change.reason }, { .key = "silent_ms", .value = std::to_string(contact(name, {}).silent_ms()) }, { .key = "voters", .value = std::to_string(change.membership.members_size()) } });
        // It is sent the log as a learner, so that it is admitted again soon if it returns.
        m_joinedPeers[name] = { .name = name, .endpoint = member(name)->endpoint() };
    }
    for (const auto& name : change.added) {
        log(LogLevel::Info, "member_admitted", { { .key = "member", .value = name } });
        m_admissionObstacles.erase(name);
    }
    schema::Command command;
    *command.mutable_membership() = change.membership;
    appendEntry(command.SerializeAsString(), true);
    flushEntries();
}

} // namespace clementinesill::control

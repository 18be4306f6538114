#include "control/replicatedlog.h"
#include "foundation/log.h"

#include <algorithm>
#include <array>
#include <utility>

// The leader: replication, commit and membership changes.

namespace clementinesill::control {

namespace {

// A member that is absent for this many absence timeouts is removed although another one is absent, too.
constexpr int absenceTimeoutsForChoice = 3;

// Logged, indexed by AdmissionObstacle.
constexpr std::array<const char*, 4> admissionObstacles {
    "",
    "it does not respond",
    "it does not hold all committed entries",
    "the group is full",
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
    m_replication.updateDiskIdentity(peer, response.disk_identity());
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
    m_replication.updateDiskIdentity(peer, response.disk_identity());
    recordAcknowledgement(peer, request.last_index(), message.sentAt);
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
    const auto majorityIndex = lastMajorityIndex();
    if (majorityIndex <= m_commitIndex || m_log.termAt(majorityIndex) != m_vote.term())
        return;
    m_commitIndex = majorityIndex;
    // Sends the new commit index to the followers at once, without waiting for the next heartbeat.
    for (const auto& peer : peers())
        m_replication.peer(peer.name).nextHeartbeat = m_clock.now();
    applyCommitted();
}

std::uint64_t ReplicatedLog::lastMajorityIndex() const
{
    auto index = m_log.lastIndex();
    for (const auto* membership : decidingMemberships())
        index = std::min(index, m_replication.majorityIndex(*membership, m_log.syncedIndex()));
    return index;
}

MonotonicTime ReplicatedLog::lastMajorityContact() const
{
    auto contact = MonotonicTime::max();
    for (const auto* membership : decidingMemberships())
        contact = std::min(contact, m_replication.majoritySendTime(*membership, m_clock.now()));
    return contact;
}

// Time at which the leader steps down if no majority has responded by then.
MonotonicTime ReplicatedLog::stepDownDeadline() const
{
    return std::max(m_leaderSince, lastMajorityContact()) + m_options.maxElectionTimeout;
}

void ReplicatedLog::stepDown(const char* reason)
{
    m_role = ReplicaRole::Follower;
    m_leaderEndpoint.clear();
    resetElectionTimeout();
    log(LogLevel::Warn, "leader_stepped_down", { { .key = "reason", .value = reason } });
}

// Changes one member at a time, and only after the previous change is committed: any majority of the old membership then
// shares a member with any majority of the new one.
void ReplicatedLog::updateMembership()
{
    if (!hasValidLease() || m_log.membershipIndex() > m_commitIndex)
        return;
    // The next entry tells the members that the change is committed, also after they were restarted.
    if (m_options.spareMembers && m_log.recordedCommitIndex() < m_log.membershipIndex()) {
        appendEntry({}, false);
        flushEntries();
    }
    forgetSilentLearners();
    if (m_log.membership()->members_size() > m_options.maxMembers && removeSurplusMember())
        return;
    for (const auto& peer : peers()) {
        if (updatePeerMembership(peer))
            return;
    }
}

bool ReplicatedLog::updatePeerMembership(const ReplicaPeer& peer)
{
    const auto& progress = m_replication.peer(peer.name);
    if (!progress.diskIdentity)
        return false;
    const auto* existing = member(peer.name);
    if (existing && existing->disk_identity() == progress.diskIdentity)
        return false;
    if (existing) {
        if (!hasQuorumWithout(peer.name))
            return false;
        // It becomes a learner and is admitted again once it holds the log.
        m_joinedPeers[peer.name] = peer;
        removeMember(peer.name, "its data folder was replaced");
        return true;
    }
    const auto obstacle = admissionObstacle(peer.name);
    recordAdmissionObstacle(peer.name, obstacle);
    if (obstacle != AdmissionObstacle::None)
        return false;
    auto membership = *m_log.membership();
    membership.clear_lost_member();
    auto& added = *membership.add_members();
    added.set_name(peer.name);
    added.set_endpoint(peer.endpoint);
    added.set_disk_identity(progress.diskIdentity);
    log(LogLevel::Info, "member_admitted", { { .key = "member", .value = peer.name } });
    proposeMembership(membership);
    return true;
}

void ReplicatedLog::forgetSilentLearners()
{
    const auto since = m_clock.now() - m_options.learnerAbsenceTimeout;
    std::erase_if(m_joinedPeers, [&](const auto& entry) { return !member(entry.first) && m_absences.lastResponse(entry.first) < since; });
}

// A learner becomes a voting member once it holds all committed entries. It is admitted to a full group before the absent
// member is removed: the absent one may return with its disk, which counts until then.
ReplicatedLog::AdmissionObstacle ReplicatedLog::admissionObstacle(const std::string& learner) const
{
    const auto& progress = m_replication.peers().at(learner);
    if (progress.acknowledgedSendTime + m_options.minElectionTimeout <= m_clock.now())
        return AdmissionObstacle::NotResponding;
    if (!progress.caughtUp)
        return AdmissionObstacle::LogBehind;
    const int members = m_log.membership()->members_size();
    const bool hasPlace = members < memberLimit() || (members == memberLimit() && absentMember());
    return hasPlace ? AdmissionObstacle::None : AdmissionObstacle::GroupFull;
}

// Logs the obstacle if it has changed.
void ReplicatedLog::recordAdmissionObstacle(const std::string& learner, AdmissionObstacle obstacle)
{
    if (std::exchange(m_admissionObstacles[learner], obstacle) == obstacle || obstacle == AdmissionObstacle::None)
        return;
    const auto& progress = m_replication.peers().at(learner);
    log(LogLevel::Info, "learner_waiting", { { .key = "learner", .value = learner }, { .key = logkey::reason, .value = admissionObstacles.at(static_cast<std::size_t>(obstacle)) }, { .key = "match_index", .value = std::to_string(progress.matchIndex) }, { .key = "commit_index", .value = std::to_string(m_commitIndex) } });
}

const schema::Member* ReplicatedLog::absentMember() const
{
    for (const auto& member : m_log.membership()->members()) {
        if (member.name() != m_options.name && m_absences.hasDeparted(member.name(), m_clock.now()))
            return &member;
    }
    // Every controller that is reachable has had time to respond to this leader.
    if (m_leaderSince + m_options.maxElectionTimeout > m_clock.now())
        return nullptr;
    const schema::Member* absent = nullptr;
    auto oldest = m_clock.now() - m_options.memberAbsenceTimeout;
    for (const auto& member : m_log.membership()->members()) {
        if (member.name() == m_options.name || m_absences.lastResponse(member.name()) > oldest)
            continue;
        oldest = m_absences.lastResponse(member.name());
        absent = &member;
    }
    return absent;
}

// Removes the absent member that a learner has replaced. If all members respond, because it has returned meanwhile, the newest
// one becomes a learner again: a group of odd size keeps a majority when it is cut in two.
bool ReplicatedLog::removeSurplusMember()
{
    if (const auto* absent = absentMember()) {
        if (!hasQuorumWithout(absent->name()) || mayReturnFirst(*absent))
            return false;
        removeMember(absent->name(), m_absences.hasDeparted(absent->name(), m_clock.now()) ? "it is being stopped and a learner has taken its place" : "it has not responded for too long and a learner has taken its place");
        return true;
    }
    const auto& members = m_log.membership()->members();
    if (members.size() <= memberLimit())
        return false;
    const auto since = m_clock.now() - m_options.minElectionTimeout;
    if (!std::all_of(members.begin(), members.end(), [&](const auto& member) { return m_replication.isActiveSince(member, since); }))
        return false;
    const auto& newest = *std::find_if(members.rbegin(), members.rend(), [&](const auto& member) { return member.name() != m_options.name; });
    m_joinedPeers[newest.name()] = { .name = newest.name(), .endpoint = newest.endpoint() };
    removeMember(newest.name(), "the group has more members than necessary");
    return true;
}

// Whether to wait because another member is absent, too. If that one returns and this one does not, removing this one leaves the
// group with five members that respond; the other choice leaves it with one that is gone.
bool ReplicatedLog::mayReturnFirst(const schema::Member& absent) const
{
    if (!hasSpareMember(*m_log.membership()) || m_absences.hasDeparted(absent.name(), m_clock.now()))
        return false;
    return silentVoters().size() > 1 && m_absences.lastResponse(absent.name()) > m_clock.now() - absenceTimeoutsForChoice * m_options.memberAbsenceTimeout;
}

void ReplicatedLog::removeMember(const std::string& name, const char* reason)
{
    log(LogLevel::Warn, "member_removed", { { .key = "member", .value = name }, { .key = "reason", .value = reason } });
    proposeMembership(membershipWithout(name));
}

schema::Membership ReplicatedLog::membershipWithout(const std::string& name) const
{
    auto membership = *m_log.membership();
    membership.clear_lost_member();
    auto& members = *membership.mutable_members();
    members.erase(std::remove_if(members.begin(), members.end(), [&](const auto& member) { return member.name() == name; }), members.end());
    return membership;
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

bool ReplicatedLog::hasQuorumWithout(const std::string& name) const
{
    const auto& members = m_log.membership()->members();
    const auto since = m_clock.now() - m_options.minElectionTimeout;
    const auto activeCount = std::count_if(members.begin(), members.end(), [&](const auto& member) {
        return member.name() != name && m_replication.isActiveSince(member, since);
    });
    // The removal of a member of a group with a spare one needs a majority of the members before it, too.
    const int countedMembers = hasSpareMember(*m_log.membership()) ? members.size() : members.size() - 1;
    return activeCount > countedMembers / 2;
}

void ReplicatedLog::proposeMembership(const schema::Membership& membership)
{
    schema::Command command;
    *command.mutable_membership() = membership;
    appendEntry(command.SerializeAsString(), true);
    flushEntries();
}

} // namespace clementinesill::control

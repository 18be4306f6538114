#include "control/ilogstorage.h"
#include "control/replicatedlog.h"
#include "foundation/irandom.h"
#include "foundation/log.h"

#include <algorithm>
#include <array>
#include <cstdlib>

// Elections and the bootstrap of a group.

namespace clementinesill::control {

namespace {

constexpr auto describeInterval = std::chrono::milliseconds(300);

// Sent in vote responses, indexed by VoteRejection.
constexpr std::array<const char*, 6> rejectionReasons {
    "",
    "the candidate knows another data folder under this name",
    "a leader was heard within the election timeout",
    "the candidate's term is old",
    "the vote of this term is given",
    "the candidate's log is behind",
};

void appendToList(std::string& list, const std::string& item)
{
    list += (list.empty() ? "" : ", ") + item;
}

const schema::Member* findMember(const schema::Membership& membership, const std::string& name)
{
    const auto& members = membership.members();
    const auto found = std::find_if(members.begin(), members.end(), [&](const auto& member) { return member.name() == name; });
    return found == members.end() ? nullptr : &*found;
}

// Whether any quorum of one membership shares a member with any quorum of the other: majorities do if one member was added or removed.
bool majoritiesOverlap(const schema::Membership& former, const schema::Membership& latest)
{
    const bool isSingleChange = std::abs(former.members_size() - latest.members_size()) == 1;
    return isSingleChange && !former.half_may_decide() && !latest.half_may_decide();
}

} // namespace

const schema::Member* ReplicatedLog::member(const std::string& name) const
{
    const auto* membership = m_log.membership();
    return membership ? findMember(*membership, name) : nullptr;
}

const schema::Member* ReplicatedLog::decidingMember(const std::string& name) const
{
    for (const auto* membership : decidingMemberships()) {
        if (const auto* found = findMember(*membership, name))
            return found;
    }
    return nullptr;
}

bool ReplicatedLog::isMemberOf(const schema::Membership* membership) const
{
    const auto* self = membership ? findMember(*membership, m_options.name) : nullptr;
    return self && self->disk_identity() == m_diskIdentity;
}

bool ReplicatedLog::isVoter() const
{
    const auto memberships = decidingMemberships();
    return std::any_of(memberships.begin(), memberships.end(), [&](const auto* membership) { return isMemberOf(membership); });
}

void ReplicatedLog::saveVote(std::uint64_t term, const std::string& votedFor)
{
    schema::VoteRecord vote;
    vote.set_term(term);
    vote.set_voted_for(votedFor);
    m_storage.saveVote(vote);
    m_vote = vote;
}

void ReplicatedLog::adoptTerm(std::uint64_t term)
{
    if (term <= m_vote.term())
        return;
    saveVote(term, {});
    m_role = ReplicaRole::Follower;
    m_leaderEndpoint.clear();
    resetElectionTimeout();
}

void ReplicatedLog::resetElectionTimeout()
{
    const auto spread = m_options.maxElectionTimeout - m_options.minElectionTimeout;
    const auto extra = m_random.below(static_cast<std::uint64_t>(spread.count()) + 1);
    m_electionDeadline = m_clock.now() + m_options.minElectionTimeout + Duration(static_cast<Duration::rep>(extra));
}

// For followers whose leader has stepped down, so that its lease need not expire first. The spread lets one of them win.
void ReplicatedLog::startElectionSoon()
{
    const auto spread = m_options.maxElectionTimeout - m_options.minElectionTimeout;
    m_electionDeadline = m_clock.now() + Duration(static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>(spread.count()) / 4 + 1)));
}

// Returns the term of the last log entry if this controller was the leader that wrote it and has seen no later term,
// otherwise 0. Leases of leaders of earlier terms had expired when it was elected for that term, and its own lease ended
// when it ceased to be the leader, before it requests votes.
std::uint64_t ReplicatedLog::formerTerm() const
{
    const bool wasLastLeader = m_vote.voted_for() == m_options.name && m_log.lastTerm() == m_vote.term();
    return wasLastLeader ? m_vote.term() : 0;
}

void ReplicatedLog::startElection(ReplicaRole role)
{
    if (role == ReplicaRole::PreCandidate) {
        if (m_role != ReplicaRole::Follower)
            logElectionWithoutMajority();
        m_formerTerm = formerTerm();
    }
    if (role == ReplicaRole::Candidate) {
        saveVote(m_vote.term() + 1, m_options.name);
        m_lostDisksAtCandidacy = m_lostDisks;
    }
    m_role = role;
    m_leaderEndpoint.clear();
    m_votes = { m_diskIdentity };
    m_requestedVotes.clear();
    m_voteRejections.clear();
    resetElectionTimeout();
    countVotes();
}

void ReplicatedLog::logElectionWithoutMajority() const
{
    std::string granted;
    std::string rejected;
    std::string unanswered;
    std::string lost;
    for (const auto& member : m_log.membership()->members()) {
        const auto rejection = m_voteRejections.find(member.name());
        if (hasLostDataFolder(member))
            appendToList(lost, member.name());
        if (m_votes.contains(member.disk_identity()))
            appendToList(granted, member.name());
        else if (rejection != m_voteRejections.end())
            appendToList(rejected, member.name() + " (" + rejection->second + ")");
        else
            appendToList(unanswered, member.name());
    }
    log(LogLevel::Warn, "election_without_majority", { { .key = "role", .value = std::string(name(m_role)) }, { .key = "term", .value = std::to_string(m_vote.term()) }, { .key = "last_index", .value = std::to_string(m_log.lastIndex()) }, { .key = "granted", .value = granted }, { .key = "rejected", .value = rejected }, { .key = "unanswered", .value = unanswered }, { .key = "lost_data_folders", .value = lost }, { .key = "voters", .value = std::to_string(m_log.membership()->members_size()) }, { .key = "quorum", .value = std::to_string(quorumSize(*m_log.membership())) }, { .key = "change_pending", .value = decidingMemberships().size() > 1 ? "true" : "false" } });
}

bool ReplicatedLog::isMembershipCommitted() const
{
    return m_log.membershipIndex() <= std::max(m_commitIndex, m_log.recordedCommitIndex());
}

ReplicatedLog::Memberships ReplicatedLog::decidingMemberships() const
{
    if (!m_log.membership())
        return {};
    if (isJointChange() && !isMembershipCommitted())
        return { m_log.membership(), m_log.formerMembership() };
    return { m_log.membership() };
}

bool ReplicatedLog::isJointChange() const
{
    const auto* former = m_log.formerMembership();
    return former && !majoritiesOverlap(*former, *m_log.membership());
}

bool ReplicatedLog::hasLostDataFolder(const schema::Member& member) const
{
    const auto& lostDisks = m_role == ReplicaRole::PreCandidate || m_role == ReplicaRole::Follower ? m_lostDisks : m_lostDisksAtCandidacy;
    return lostDisks.contains(member.disk_identity());
}

// More than half of the members. If half may decide, half of them is enough once the data folder of a member was known to be lost
// before this election started. That folder never votes or acknowledges again, so of the members that remain any two such halves,
// and any half and any majority of all members, have one in common. The loss must have been known before the election's term:
// in this term, and in later ones, the lost folder has then neither voted nor acknowledged anything.
int ReplicatedLog::quorumSize(const schema::Membership& membership) const
{
    const auto& members = membership.members();
    const bool hasLostMember = membership.half_may_decide() && std::any_of(members.begin(), members.end(), [&](const auto& member) { return hasLostDataFolder(member); });
    return members.size() / 2 + (hasLostMember ? 0 : 1);
}

int ReplicatedLog::grantedVotes(const schema::Membership& membership) const
{
    const auto& members = membership.members();
    return static_cast<int>(std::count_if(members.begin(), members.end(), [&](const auto& member) { return m_votes.contains(member.disk_identity()); }));
}

bool ReplicatedLog::isElected() const
{
    const auto memberships = decidingMemberships();
    return std::all_of(memberships.begin(), memberships.end(), [&](const auto* membership) { return grantedVotes(*membership) >= quorumSize(*membership); });
}

void ReplicatedLog::countVotes()
{
    if (!isElected())
        return;
    if (m_role == ReplicaRole::PreCandidate)
        startElection(ReplicaRole::Candidate);
    else if (m_role == ReplicaRole::Candidate)
        becomeLeader();
}

// Logs an election that half of the members have granted.
void ReplicatedLog::logElectionByHalf() const
{
    for (const auto* membership : decidingMemberships()) {
        if (grantedVotes(*membership) * 2 > membership->members_size())
            continue;
        std::string lost;
        for (const auto& member : membership->members()) {
            if (hasLostDataFolder(member))
                appendToList(lost, member.name());
        }
        log(LogLevel::Warn, "elected_by_half", { { .key = "lost_data_folders", .value = lost }, { .key = logkey::reason, .value = "exactly half of the members granted the election, and a member's data folder is lost" } });
    }
}

void ReplicatedLog::becomeLeader()
{
    m_role = ReplicaRole::Leader;
    m_leaderEndpoint = m_options.endpoint;
    m_leaderSince = m_clock.now();
    m_admissionObstacles.clear();
    m_replication.startTerm(m_log.lastIndex());
    appendEntry({}, false);
    m_termStartIndex = m_log.lastIndex();
    logElectionByHalf();
    log(LogLevel::Info, "leader_elected", { { .key = "term", .value = std::to_string(m_vote.term()) }, { .key = "index", .value = std::to_string(m_termStartIndex) } });
    flushEntries();
}

std::optional<PeerMessage> ReplicatedLog::nextVoteRequest(const std::string& peer)
{
    const auto* voter = decidingMember(peer);
    if (!voter || !m_requestedVotes.insert(peer).second)
        return std::nullopt;
    schema::VoteRequest request;
    request.set_pre_vote(m_role == ReplicaRole::PreCandidate);
    request.set_term(m_vote.term() + (request.pre_vote() ? 1 : 0));
    request.set_candidate(m_options.name);
    request.set_last_index(m_log.lastIndex());
    request.set_last_term(m_log.lastTerm());
    request.set_disk_identity(voter->disk_identity());
    request.set_former_term(m_formerTerm);
    return PeerMessage { .request = std::move(request), .sentAt = m_clock.now() };
}

void ReplicatedLog::onVoteResponse(const std::string& peer, const schema::VoteRequest& request, const schema::VoteResponse& response)
{
    adoptTerm(response.term());
    if (response.disk_identity() && response.disk_identity() != request.disk_identity())
        m_lostDisks.insert(request.disk_identity());
    const auto expectedTerm = m_vote.term() + (request.pre_vote() ? 1 : 0);
    const auto expectedRole = request.pre_vote() ? ReplicaRole::PreCandidate : ReplicaRole::Candidate;
    if (m_role != expectedRole || request.term() != expectedTerm)
        return;
    if (!response.granted()) {
        m_voteRejections[peer] = response.reason();
        // The loss of a data folder may have reduced the quorum.
        countVotes();
        return;
    }
    m_votes.insert(request.disk_identity());
    countVotes();
}

bool ReplicatedLog::isCandidateUpToDate(const schema::VoteRequest& request) const
{
    if (request.last_term() != m_log.lastTerm())
        return request.last_term() > m_log.lastTerm();
    return request.last_index() >= m_log.lastIndex();
}

// Whether a leader other than the candidate may still hold a lease that this controller acknowledged and that a vote would
// violate. This is not possible if this controller has acknowledged no term later than the candidate's former term: leases
// of earlier terms had expired when the candidate was elected for that term.
bool ReplicatedLog::otherLeaderMayHoldLease(const schema::VoteRequest& request) const
{
    if (hasValidLease())
        return true;
    if (request.former_term() && m_vote.term() <= request.former_term())
        return false;
    return m_lastLeaderContact + m_options.minElectionTimeout > m_clock.now();
}

ReplicatedLog::VoteRejection ReplicatedLog::voteRejection(const schema::VoteRequest& request) const
{
    if (request.disk_identity() != m_diskIdentity)
        return VoteRejection::DiskIdentityMismatch;
    if (otherLeaderMayHoldLease(request))
        return VoteRejection::OtherLeaderMayHoldLease;
    if (request.term() < m_vote.term())
        return VoteRejection::StaleTerm;
    const bool alreadyVoted = request.term() == m_vote.term() && !m_vote.voted_for().empty() && m_vote.voted_for() != request.candidate();
    if (alreadyVoted && !request.pre_vote())
        return VoteRejection::AlreadyVoted;
    return isCandidateUpToDate(request) ? VoteRejection::None : VoteRejection::CandidateLogBehind;
}

schema::VoteResponse ReplicatedLog::onVote(const schema::VoteRequest& request)
{
    const auto rejection = voteRejection(request);
    const bool granted = rejection == VoteRejection::None;
    if (!request.pre_vote() && (granted || rejection == VoteRejection::CandidateLogBehind))
        adoptTerm(request.term());
    if (granted && !request.pre_vote()) {
        saveVote(m_vote.term(), request.candidate());
        resetElectionTimeout();
    }
    schema::VoteResponse response;
    response.set_term(m_vote.term());
    response.set_granted(granted);
    response.set_disk_identity(m_diskIdentity);
    response.set_reason(rejectionReasons.at(static_cast<std::size_t>(rejection)));
    return response;
}

bool ReplicatedLog::isBootstrapped() const
{
    return m_log.lastIndex() > 0;
}

bool ReplicatedLog::isBootstrapping() const
{
    return m_options.mayBootstrap && !isBootstrapped() && (m_options.peers.empty() || m_options.peers.front().name == m_options.name);
}

schema::DescribeResponse ReplicatedLog::onDescribe(const schema::DescribeRequest&)
{
    schema::DescribeResponse response;
    response.set_disk_identity(m_diskIdentity);
    response.set_formed(isBootstrapped());
    return response;
}

std::optional<PeerMessage> ReplicatedLog::nextDescribeRequest(const std::string& peer)
{
    auto& next = m_nextDescribeTimes[peer];
    if (m_clock.now() < next)
        return std::nullopt;
    next = m_clock.now() + describeInterval;
    schema::DescribeRequest request;
    request.set_name(m_options.name);
    return PeerMessage { .request = std::move(request), .sentAt = m_clock.now() };
}

// Bootstraps the group only after every controller has reported an empty log, so that a controller which lost its data
// folder never mistakes an existing group for a new one.
void ReplicatedLog::onDescribeResponse(const std::string& peer, const schema::DescribeResponse& response)
{
    m_descriptions[peer] = response;
    if (!isBootstrapping())
        return;
    for (const auto& controller : m_options.peers) {
        if (controller.name == m_options.name)
            continue;
        const auto found = m_descriptions.find(controller.name);
        if (found == m_descriptions.end() || found->second.formed())
            return;
    }
    bootstrapGroup();
}

void ReplicatedLog::bootstrapGroup()
{
    schema::Command command;
    const auto add = [&](const std::string& name, const std::string& endpoint, std::uint64_t identity) {
        auto& member = *command.mutable_membership()->add_members();
        member.set_name(name);
        member.set_endpoint(endpoint);
        member.set_disk_identity(identity);
    };
    add(m_options.name, m_options.endpoint, m_diskIdentity);
    for (const auto& peer : m_options.peers) {
        if (peer.name != m_options.name)
            add(peer.name, peer.endpoint, m_descriptions[peer.name].disk_identity());
    }
    m_vote.set_term(std::max<std::uint64_t>(m_vote.term(), 1));
    appendEntry(command.SerializeAsString(), true);
    m_log.sync();
    saveVote(m_vote.term(), m_options.name);
    m_electionDeadline = m_clock.now();
    log(LogLevel::Info, "group_formed", { { .key = "members", .value = std::to_string(command.membership().members_size()) } });
}

} // namespace clementinesill::control

#include "control/ilogstorage.h"
#include "control/replicatedlog.h"
#include "foundation/irandom.h"
#include "foundation/log.h"

#include <algorithm>
#include <array>

// The election, and how a group forms.

namespace clementinesill::control {

namespace {

constexpr auto describeInterval = std::chrono::milliseconds(300);

constexpr std::array<const char*, 6> refusalTexts {
    "",
    "the candidate knows another data folder under this name",
    "a leader was heard within the election timeout",
    "the candidate's term is old",
    "the vote of this term is given",
    "the candidate's log is behind",
};

} // namespace

const schema::Member* ReplicatedLog::member(const std::string& name) const
{
    const auto* membership = m_log.membership();
    if (!membership)
        return nullptr;
    for (const auto& member : membership->members()) {
        if (member.name() == name)
            return &member;
    }
    return nullptr;
}

bool ReplicatedLog::isMember() const
{
    const auto* self = member(m_options.name);
    return self && self->disk_identity() == m_diskIdentity;
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
    const auto spread = m_options.longestElectionTimeout - m_options.shortestElectionTimeout;
    const auto extra = m_random.below(static_cast<std::uint64_t>(spread.count()) + 1);
    m_electionDeadline = m_clock.now() + m_options.shortestElectionTimeout + Duration(static_cast<Duration::rep>(extra));
}

// The term of the newest entry, if this controller wrote that entry itself: it led then, and has left that office, as it
// votes now. The leases of earlier leaders had ended before, and nobody has led since as far as it knows.
std::uint64_t ReplicatedLog::formerTerm() const
{
    const bool ledLast = m_vote.voted_for() == m_options.name && m_log.lastTerm() == m_vote.term();
    return ledLast ? m_vote.term() : 0;
}

void ReplicatedLog::startVoting(ReplicaRole role)
{
    if (role == ReplicaRole::PreCandidate)
        m_formerTerm = formerTerm();
    if (role == ReplicaRole::Candidate)
        saveVote(m_vote.term() + 1, m_options.name);
    m_role = role;
    m_leaderEndpoint.clear();
    m_votes = { m_options.name };
    m_asked.clear();
    resetElectionTimeout();
    countVotes();
}

void ReplicatedLog::countVotes()
{
    if (m_votes.size() <= static_cast<std::size_t>(m_log.membership()->members_size()) / 2)
        return;
    if (m_role == ReplicaRole::PreCandidate)
        startVoting(ReplicaRole::Candidate);
    else if (m_role == ReplicaRole::Candidate)
        becomeLeader();
}

void ReplicatedLog::becomeLeader()
{
    m_role = ReplicaRole::Leader;
    m_leaderEndpoint = m_options.endpoint;
    m_leadingSince = m_clock.now();
    m_joined.clear();
    m_replication.start(m_log.lastIndex());
    // Entries of earlier terms are committed by committing one of this term.
    push({}, false);
    m_termStart = m_log.lastIndex();
    log(LogLevel::Info, "leader_elected", { { .key = "term", .value = std::to_string(m_vote.term()) }, { .key = "index", .value = std::to_string(m_termStart) } });
    flush();
}

std::optional<PeerMessage> ReplicatedLog::nextVoteRequest(const std::string& peer)
{
    const auto* voter = member(peer);
    if (!voter || !m_asked.insert(peer).second)
        return std::nullopt;
    schema::VoteRequest request;
    request.set_pre_vote(m_role == ReplicaRole::PreCandidate);
    request.set_term(m_vote.term() + (request.pre_vote() ? 1 : 0));
    request.set_candidate(m_options.name);
    request.set_last_index(m_log.lastIndex());
    request.set_last_term(m_log.lastTerm());
    request.set_disk_identity(voter->disk_identity());
    request.set_former_term(m_formerTerm);
    return PeerMessage { .request = std::move(request), .sent = m_clock.now() };
}

void ReplicatedLog::onVoteAnswer(const std::string& peer, const schema::VoteRequest& request, const schema::VoteResponse& response)
{
    adoptTerm(response.term());
    const auto expected = m_vote.term() + (request.pre_vote() ? 1 : 0);
    const auto asking = request.pre_vote() ? ReplicaRole::PreCandidate : ReplicaRole::Candidate;
    if (m_role != asking || request.term() != expected || !response.granted())
        return;
    const auto* voter = member(peer);
    if (!voter || voter->disk_identity() != request.disk_identity())
        return;
    m_votes.insert(peer);
    countVotes();
}

bool ReplicatedLog::upToDate(const schema::VoteRequest& request) const
{
    if (request.last_term() != m_log.lastTerm())
        return request.last_term() > m_log.lastTerm();
    return request.last_index() >= m_log.lastIndex();
}

// Whether a leader other than the candidate may rely on this controller to give no vote yet. Whoever acknowledged the
// candidate's own former term, or an earlier one, and none since, supports no other lease: those before ended when the
// candidate was elected.
bool ReplicatedLog::mayHoldLease(const schema::VoteRequest& request) const
{
    if (leaseLive())
        return true;
    if (request.former_term() && m_vote.term() <= request.former_term())
        return false;
    return m_leaderContact + m_options.shortestElectionTimeout > m_clock.now();
}

ReplicatedLog::VoteRefusal ReplicatedLog::refusal(const schema::VoteRequest& request) const
{
    if (request.disk_identity() != m_diskIdentity)
        return VoteRefusal::OtherDataFolder;
    if (mayHoldLease(request))
        return VoteRefusal::LeaderHeard;
    if (request.term() < m_vote.term())
        return VoteRefusal::OldTerm;
    const bool given = request.term() == m_vote.term() && !m_vote.voted_for().empty() && m_vote.voted_for() != request.candidate();
    if (given && !request.pre_vote())
        return VoteRefusal::VoteGiven;
    return upToDate(request) ? VoteRefusal::None : VoteRefusal::LogBehind;
}

schema::VoteResponse ReplicatedLog::onVote(const schema::VoteRequest& request)
{
    const auto refused = refusal(request);
    const bool granted = refused == VoteRefusal::None;
    if (!request.pre_vote() && (granted || refused == VoteRefusal::LogBehind))
        adoptTerm(request.term());
    if (granted && !request.pre_vote()) {
        saveVote(m_vote.term(), request.candidate());
        resetElectionTimeout();
    }
    schema::VoteResponse response;
    response.set_term(m_vote.term());
    response.set_granted(granted);
    response.set_reason(refusalTexts.at(static_cast<std::size_t>(refused)));
    return response;
}

bool ReplicatedLog::formed() const
{
    return m_log.lastIndex() > 0;
}

bool ReplicatedLog::formsGroup() const
{
    return m_options.mayForm && !formed() && (m_options.peers.empty() || m_options.peers.front().name == m_options.name);
}

schema::DescribeResponse ReplicatedLog::onDescribe(const schema::DescribeRequest&)
{
    schema::DescribeResponse response;
    response.set_disk_identity(m_diskIdentity);
    response.set_formed(formed());
    return response;
}

std::optional<PeerMessage> ReplicatedLog::nextDescribeRequest(const std::string& peer)
{
    auto& next = m_nextDescribe[peer];
    if (m_clock.now() < next)
        return std::nullopt;
    next = m_clock.now() + describeInterval;
    schema::DescribeRequest request;
    request.set_name(m_options.name);
    return PeerMessage { .request = std::move(request), .sent = m_clock.now() };
}

// A group forms only once every controller has said that it holds nothing: one that lost its data folder never takes the
// group for a new one.
void ReplicatedLog::onDescribeAnswer(const std::string& peer, const schema::DescribeResponse& response)
{
    m_described[peer] = response;
    if (!formsGroup())
        return;
    for (const auto& controller : m_options.peers) {
        if (controller.name == m_options.name)
            continue;
        const auto found = m_described.find(controller.name);
        if (found == m_described.end() || found->second.formed())
            return;
    }
    formGroup();
}

void ReplicatedLog::formGroup()
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
            add(peer.name, peer.endpoint, m_described[peer.name].disk_identity());
    }
    m_vote.set_term(std::max<std::uint64_t>(m_vote.term(), 1));
    push(command.SerializeAsString(), true);
    m_log.sync();
    saveVote(m_vote.term(), m_options.name);
    m_electionDeadline = m_clock.now();
    log(LogLevel::Info, "group_formed", { { .key = "members", .value = std::to_string(command.membership().members_size()) } });
}

} // namespace clementinesill::control

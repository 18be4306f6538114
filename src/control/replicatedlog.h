#pragma once

#include "control/entrylog.h"
#include "control/ireplicatedlog.h"
#include "control/replication.h"
#include "control/types/replicatedlogoptions.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace clementinesill {
class IRandom;
}

namespace clementinesill::control {

class IStateMachine;

// Replicated log by majority: terms, pre-vote, randomized election timeouts, log matching, commit by a majority of the
// current term, leader lease, snapshots, and members that are known by the identity of their data folder.
class ReplicatedLog final : public IReplicatedLog {
public:
    // Opens the storage and restores the state machine.
    ReplicatedLog(const ReplicatedLogOptions& options, const IClock& clock, IRandom& random, ILogStorage& storage, IStateMachine& machine);

    void tick() override;
    MonotonicTime dueAt() const override;
    std::optional<PeerMessage> nextMessage(const std::string& peer) override;
    MonotonicTime messageDueAt(const std::string& peer) const override;
    void onAnswer(const std::string& peer, const PeerMessage& message, const PeerAnswer& answer) override;
    void onFailure(const std::string& peer, const PeerMessage& message) override;
    schema::VoteResponse onVote(const schema::VoteRequest& request) override;
    schema::AppendResponse onAppend(const schema::AppendRequest& request) override;
    schema::SnapshotResponse onSnapshot(const schema::SnapshotRequest& request) override;
    schema::DescribeResponse onDescribe(const schema::DescribeRequest& request) override;
    schema::JoinResponse onJoin(const schema::JoinRequest& request) override;
    std::vector<ReplicaPeer> peers() const override;
    Proposal propose(const std::string& command) override;
    void flush() override;
    ReplicaRole role() const override;
    std::uint64_t term() const override { return m_vote.term(); }
    bool leaseLive() const override;
    bool leaderHeard() const override;
    const std::string& leaderEndpoint() const override { return m_leaderEndpoint; }

    std::uint64_t commitIndex() const { return m_commitIndex; }
    const EntryLog& entries() const { return m_log; }
    std::uint64_t diskIdentity() const { return m_diskIdentity; }
    const Replication& replication() const { return m_replication; }

private:
    enum class VoteRefusal {
        None,
        OtherDataFolder,
        LeaderHeard,
        OldTerm,
        VoteGiven,
        LogBehind,
    };

    // Election.
    bool isMember() const;
    const schema::Member* member(const std::string& name) const;
    void saveVote(std::uint64_t term, const std::string& votedFor);
    void adoptTerm(std::uint64_t term);
    void resetElectionTimeout();
    std::uint64_t formerTerm() const;
    void startVoting(ReplicaRole role);
    void countVotes();
    void becomeLeader();
    bool upToDate(const schema::VoteRequest& request) const;
    bool mayHoldLease(const schema::VoteRequest& request) const;
    VoteRefusal refusal(const schema::VoteRequest& request) const;
    std::optional<PeerMessage> nextVoteRequest(const std::string& peer);
    void onVoteAnswer(const std::string& peer, const schema::VoteRequest& request, const schema::VoteResponse& response);

    // Forming the group.
    bool formed() const;
    bool formsGroup() const;
    std::optional<PeerMessage> nextDescribeRequest(const std::string& peer);
    void onDescribeAnswer(const std::string& peer, const schema::DescribeResponse& response);
    void formGroup();

    // Replication.
    std::optional<PeerMessage> nextAppend(const std::string& peer);
    schema::SnapshotRequest snapshotRequest() const;
    void onAppendAnswer(const std::string& peer, const PeerMessage& message, const schema::AppendResponse& response);
    void onSnapshotAnswer(const std::string& peer, const PeerMessage& message, const schema::SnapshotResponse& response);
    void noteAcknowledgement(const std::string& peer, std::uint64_t matchIndex, MonotonicTime sent);
    void followLeader(std::uint64_t term, const std::string& endpoint, bool leaseLive);
    void advanceCommit();
    MonotonicTime leaseEnd() const;
    MonotonicTime majorityLostAt() const;
    void stepDown();
    void applyCommitted();
    void push(const std::string& command, bool membership);

    // Membership.
    void reviewMembership();
    bool reviewPeer(const ReplicaPeer& peer);
    bool makeRoom();
    void removeMember(const std::string& name, const char* reason);
    bool quorumWithout(const std::string& name) const;
    void proposeMembership(const schema::Membership& membership);

    ReplicatedLogOptions m_options;
    const IClock& m_clock;
    IRandom& m_random;
    ILogStorage& m_storage;
    IStateMachine& m_machine;
    EntryLog m_log;
    std::uint64_t m_diskIdentity;
    schema::VoteRecord m_vote;
    ReplicaRole m_role = ReplicaRole::Follower;
    std::string m_leaderEndpoint;
    std::uint64_t m_commitIndex = 0;
    std::uint64_t m_appliedIndex = 0;
    MonotonicTime m_electionDeadline;
    // When a leader was last heard; no vote is given for the shortest election timeout after it.
    MonotonicTime m_leaderContact;
    // When a leader was last heard that said its lease was live.
    MonotonicTime m_leaseContact;
    std::set<std::string> m_votes;
    std::set<std::string> m_asked;
    // What this candidate claims; see formerTerm().
    std::uint64_t m_formerTerm = 0;
    std::map<std::string, schema::DescribeResponse> m_described;
    std::map<std::string, MonotonicTime> m_nextDescribe;
    Replication m_replication;
    // Controllers that asked this leader for the log, by name.
    std::map<std::string, ReplicaPeer> m_joined;
    MonotonicTime m_leadingSince;
    // Index of the first entry of this leader's term.
    std::uint64_t m_termStart = 0;
};

} // namespace clementinesill::control

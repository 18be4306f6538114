#pragma once

#include "control/absencetracker.h"
#include "control/entrylog.h"
#include "control/ireplicatedlog.h"
#include "control/membershipplanner.h"
#include "control/replication.h"
#include "control/types/groupredundancy.h"
#include "control/types/replicatedlogoptions.h"

#include <boost/container/static_vector.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace clementinesill {
class IRandom;
}

namespace clementinesill::control {

class IStateMachine;

// Raft-like replicated log: terms, pre-vote, randomized election timeouts, log matching, commit by a majority in the
// current term, leader lease, snapshots, and members identified by the disk identity of their data folder.
//
// While the storage refuses writes, this controller acknowledges nothing and does not lead. It keeps what it has and tries
// again with each message of a leader and each election. Requests of peers then throw Error (Storage).
class ReplicatedLog final : public IReplicatedLog {
public:
    // Opens the storage and restores the state machine.
    ReplicatedLog(const ReplicatedLogOptions& options, const IClock& clock, IRandom& random, ILogStorage& storage, IStateMachine& machine);

    void tick() override;
    MonotonicTime nextDeadline() const override;
    std::optional<PeerMessage> nextMessage(const std::string& peer) override;
    MonotonicTime nextMessageTime(const std::string& peer) const override;
    void onResponse(const std::string& peer, const PeerMessage& message, const PeerResponse& response) override;
    void onFailure(const std::string& peer, const PeerMessage& message) override;
    schema::VoteResponse onVote(const schema::VoteRequest& request) override;
    schema::AppendResponse onAppend(const schema::AppendRequest& request) override;
    schema::SnapshotResponse onSnapshot(const schema::SnapshotRequest& request) override;
    schema::DescribeResponse onDescribe(const schema::DescribeRequest& request) override;
    schema::JoinResponse onJoin(const schema::JoinRequest& request) override;
    schema::LeaveGroupRequest leaveGroup() override;
    schema::LeaveGroupResponse onLeaveGroup(const schema::LeaveGroupRequest& request) override;
    std::vector<ReplicaPeer> peers() const override;
    Proposal propose(const std::string& command) override;
    void flush() override;
    ReplicaRole role() const override;
    std::uint64_t term() const override { return m_vote.term(); }
    bool hasValidLease() const override;
    bool hasLeader() const override;
    bool needsToJoin() const override { return !m_leaving && !hasLeader(); }
    bool isUpToDate() const override;
    const std::string& leaderEndpoint() const override { return m_leaderEndpoint; }

    std::uint64_t commitIndex() const { return m_commitIndex; }
    const EntryLog& entries() const { return m_log; }
    std::uint64_t diskIdentity() const { return m_diskIdentity; }
    const Replication& replication() const { return m_replication; }

    // Empty unless this controller is a leader with a valid lease.
    std::optional<GroupRedundancy> redundancy() const;

    // Names of the voters that have not responded to this leader within the shortest election timeout; empty on other controllers.
    std::vector<std::string> silentVoters() const;

    // How long this controller has not applied everything that the leader it hears has committed; zero if it has, or if it hears
    // no leader with a valid lease.
    Duration stateLag() const;
    // Commit index in the last message from a leader with a valid lease.
    std::uint64_t leaderCommitIndex() const { return m_leaderCommitIndex; }

private:
    enum class VoteRejection {
        None,
        DiskIdentityMismatch,
        OtherLeaderMayHoldLease,
        StaleTerm,
        AlreadyVoted,
        CandidateLogBehind,
    };

    // Why a learner is not admitted as a voting member.
    enum class AdmissionObstacle {
        None,
        NotResponding,
        BeingStopped,
        LogBehind,
        NoPlace,
    };

    // Runs the step; steps down if the storage refuses a write.
    template <typename Step>
    void runStep(Step step);
    void flushEntries();
    void checkDeadlines();
    void processResponse(const std::string& peer, const PeerMessage& message, const PeerResponse& response);

    // Logs what the data folder contained.
    void logOpened() const;

    // Elections.
    // Whether this controller may be elected.
    bool isVoter() const;
    bool isMember() const { return isMemberOf(m_log.membership()); }
    bool isMemberOf(const schema::Membership* membership) const;
    // Whether peers() contains the controller.
    bool isPeer(const std::string& name) const;
    const schema::Member* member(const std::string& name) const;
    // A member of one of the deciding memberships, the latest one first; nullptr if there is none of this name.
    const schema::Member* decidingMember(const std::string& name) const;
    void saveVote(std::uint64_t term, const std::string& votedFor);
    void adoptTerm(std::uint64_t term);
    void resetElectionTimeout();
    void startElectionSoon();
    std::uint64_t formerTerm() const;
    void startElection(ReplicaRole role);
    // The memberships in which a quorum is required: the latest one and, until that is known to be committed, the one before if
    // quorums of both need not overlap.
    using Memberships = boost::container::static_vector<const schema::Membership*, 2>;
    Memberships decidingMemberships() const;
    // Whether the latest change of the members is decided by both memberships.
    bool isJointChange() const;
    bool isMembershipCommitted() const;
    int grantedVotes(const schema::Membership& membership) const;
    bool isElected() const;
    // Number of members that must grant an election, hold a committed entry and renew a lease; see the definition.
    int quorumSize(const schema::Membership& membership) const;
    // Whether the member's data folder was known to be lost when this election started.
    bool hasLostDataFolder(const schema::Member& member) const;
    void recordDiskIdentity(const std::string& name, std::uint64_t diskIdentity);
    void logElectionWithoutMajority() const;
    void logElectionByHalf() const;
    void countVotes();
    void becomeLeader();
    bool isCandidateUpToDate(const schema::VoteRequest& request) const;
    bool otherLeaderMayHoldLease(const schema::VoteRequest& request) const;
    VoteRejection voteRejection(const schema::VoteRequest& request) const;
    std::optional<PeerMessage> nextVoteRequest(const std::string& peer);
    void onVoteResponse(const std::string& peer, const schema::VoteRequest& request, const schema::VoteResponse& response);

    // Bootstrap of the group.
    bool isBootstrapped() const;
    bool isBootstrapping() const;
    std::optional<PeerMessage> nextDescribeRequest(const std::string& peer);
    void onDescribeResponse(const std::string& peer, const schema::DescribeResponse& response);
    void bootstrapGroup();

    // Replication.
    std::optional<PeerMessage> nextReplicationMessage(const std::string& peer);
    schema::AppendRequest appendRequest(std::uint64_t nextIndex) const;
    schema::ControllerContact contact(const std::string& name, const std::string& endpoint) const;
    schema::SnapshotRequest snapshotRequest() const;
    void onAppendResponse(const std::string& peer, const PeerMessage& message, const schema::AppendResponse& response);
    void onSnapshotResponse(const std::string& peer, const PeerMessage& message, const schema::SnapshotResponse& response);
    void recordAcknowledgement(const std::string& peer, std::uint64_t matchIndex, MonotonicTime sentAt);
    // Takes over the learners and absences that the leader reports.
    void adoptContacts(const schema::AppendRequest& request);
    void rejectIfLeaving() const;
    void followLeader(std::uint64_t term, const std::string& endpoint, bool leaderHasLease);
    void advanceCommit();
    MonotonicTime leaseExpiry() const;
    MonotonicTime stepDownDeadline() const;
    void stepDown(const char* reason);
    void applyCommitted();
    bool needsSnapshot() const;
    void appendEntry(const std::string& command, bool membership);

    // Membership changes.
    void updateMembership();
    AdmissionObstacle admissionObstacle(const std::string& learner) const;
    void forgetSilentLearners();
    void recordAdmissionObstacle(const std::string& learner, AdmissionObstacle obstacle);
    std::vector<MemberState> memberStates();
    // Whether a learner is silent, but for less than the member return timeout.
    bool hasLearnerThatMayReturn() const;
    // Learners that may be admitted now; logs the obstacles of the others.
    std::vector<schema::Member> admissibleLearners();
    // Whether the member has not responded to a leader for the duration, and has had time to respond to this one.
    bool isSilentFor(const schema::Member& member, Duration duration) const;
    // Quorums of all deciding memberships have acknowledged a message sent at this time, and hold the entries up to this index.
    MonotonicTime lastQuorumContact() const;
    std::uint64_t lastQuorumIndex() const;
    void proposeMembership(const MembershipChange& change);

    ReplicatedLogOptions m_options;
    const IClock& m_clock;
    IRandom& m_random;
    ILogStorage& m_storage;
    IStateMachine& m_machine;
    EntryLog m_log;
    std::uint64_t m_diskIdentity;
    MonotonicTime m_openedAt;
    schema::VoteRecord m_vote;
    ReplicaRole m_role = ReplicaRole::Follower;
    std::string m_leaderEndpoint;
    std::uint64_t m_commitIndex = 0;
    std::uint64_t m_appliedIndex = 0;
    MonotonicTime m_electionDeadline;
    // Last message from a leader; no vote is granted within the minimum election timeout after it.
    MonotonicTime m_lastLeaderContact;
    // Last message from a leader that held a valid lease.
    MonotonicTime m_lastLeaseholderContact;
    // Last message from a leader with a valid lease after which everything that it had committed was applied here; the epoch if
    // there was none.
    MonotonicTime m_lastUpToDate;
    std::uint64_t m_leaderCommitIndex = 0;
    // Data folders whose controllers have granted this election.
    std::set<std::uint64_t> m_votes;
    std::set<std::string> m_requestedVotes;
    // Reasons of the voters that rejected this election, by name.
    std::map<std::string, std::string> m_voteRejections;
    // Identities of data folders that no longer exist, as their controllers responded with another one.
    std::set<std::uint64_t> m_lostDisks;
    // Those known when this controller became a candidate.
    std::set<std::uint64_t> m_lostDisksAtCandidacy;
    // Set by leaveGroup(); what a leader sends is not acknowledged any more.
    bool m_leaving = false;
    // Sent with the vote requests of this election; see formerTerm().
    std::uint64_t m_formerTerm = 0;
    std::map<std::string, schema::DescribeResponse> m_descriptions;
    std::map<std::string, MonotonicTime> m_nextDescribeTimes;
    MembershipPlanner m_planner;
    Replication m_replication;
    // Controllers that joined as learners, by name; some have become members. On a follower, the learners that the leader reported.
    std::map<std::string, ReplicaPeer> m_joinedPeers;
    AbsenceTracker m_absences;
    // Last obstacle of each learner since this controller became leader, by name.
    std::map<std::string, AdmissionObstacle> m_admissionObstacles;
    MonotonicTime m_leaderSince;
    // Index of the first entry of this leader's term.
    std::uint64_t m_termStartIndex = 0;
};

} // namespace clementinesill::control

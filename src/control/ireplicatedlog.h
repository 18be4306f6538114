#pragma once

#include "control/types/peermessage.h"
#include "control/types/proposal.h"
#include "control/types/replicapeer.h"
#include "foundation/iclock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace clementinesill::control {

enum class ReplicaRole {
    // Has no vote: its data folder is not, or not yet, a member.
    Learner,
    Follower,
    // Requests pre-votes.
    PreCandidate,
    Candidate,
    Leader,
};

std::string_view name(ReplicaRole role);

// One controller's replica of the Raft-like log. The caller calls tick() when nextDeadline() has passed and after each
// received message, sends the message that nextMessage() returns for each peer (one at a time per peer), and passes on what
// it receives. Not thread-safe.
class IReplicatedLog {
public:
    virtual ~IReplicatedLog() = default;

    virtual void tick() = 0;

    // Earliest time at which tick() may act, or hasValidLease(), hasLeader() or isUpToDate() may change, without a received
    // message.
    virtual MonotonicTime nextDeadline() const = 0;

    // Message to send to the peer now; empty optional if there is none.
    virtual std::optional<PeerMessage> nextMessage(const std::string& peer) = 0;

    // Earliest time at which nextMessage() returns a message for the peer if none is received before.
    virtual MonotonicTime nextMessageTime(const std::string& peer) const = 0;

    // Handles the response to a message from nextMessage().
    virtual void onResponse(const std::string& peer, const PeerMessage& message, const PeerResponse& response) = 0;

    // Called when a message from nextMessage() got no response.
    virtual void onFailure(const std::string& peer, const PeerMessage& message) = 0;

    virtual schema::VoteResponse onVote(const schema::VoteRequest& request) = 0;
    virtual schema::AppendResponse onAppend(const schema::AppendRequest& request) = 0;
    virtual schema::SnapshotResponse onSnapshot(const schema::SnapshotRequest& request) = 0;
    virtual schema::DescribeResponse onDescribe(const schema::DescribeRequest& request) = 0;

    // Handles another controller's request to join as a learner; only a leader with a valid lease accepts it.
    virtual schema::JoinResponse onJoin(const schema::JoinRequest& request) = 0;

    // Ceases to lead before this controller is stopped. Returns the announcement to send to all peers.
    virtual schema::LeaveGroupRequest leaveGroup() = 0;

    // Handles the announcement that another controller is being stopped: a learner may take its place at once, and a new leader may
    // be elected at once if it led.
    virtual schema::LeaveGroupResponse onLeaveGroup(const schema::LeaveGroupRequest& request) = 0;

    // All known controllers except this one.
    virtual std::vector<ReplicaPeer> peers() const = 0;

    // Appends a command if this controller is the leader and holds a valid lease. The command is committed once the state
    // machine receives it with the same term.
    virtual Proposal propose(const std::string& command) = 0;

    // Makes proposed commands durable; called after a batch of proposals.
    virtual void flush() = 0;

    virtual ReplicaRole role() const = 0;
    virtual std::uint64_t term() const = 0;

    // Whether this controller is the leader, has committed an entry of its term, and no other controller can be leader now.
    virtual bool hasValidLease() const = 0;

    // Whether hasValidLease(), or a leader with a valid lease was heard within the lease duration.
    virtual bool hasLeader() const = 0;

    // Whether this controller should ask to join the group: it has no leader and is not being stopped.
    virtual bool needsToJoin() const = 0;

    // Whether hasValidLease(), or everything that a leader with a valid lease had committed was applied here within the lease
    // duration. False on a controller that hears the leader but cannot store what it sends, or is still catching up.
    virtual bool isUpToDate() const = 0;

    // gRPC endpoint; empty if unknown.
    virtual const std::string& leaderEndpoint() const = 0;
};

} // namespace clementinesill::control

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
    // Has no vote: its data folder is not (or not yet) a member.
    Learner,
    Follower,
    // Asks whether it would win an election.
    PreCandidate,
    Candidate,
    Leader,
};

std::string_view name(ReplicaRole role);

// One controller's part of the replicated log. Whoever drives it calls tick() when dueAt() has come and after whatever
// arrived, sends what nextMessage() gives for each peer (one message at a time), and hands over what arrives. Not
// thread-safe.
class IReplicatedLog {
public:
    virtual ~IReplicatedLog() = default;

    virtual void tick() = 0;

    // When tick(), leaseLive() or leaderHeard() may next give something else unless something arrives before.
    virtual MonotonicTime dueAt() const = 0;

    // Message that is due to the peer now.
    virtual std::optional<PeerMessage> nextMessage(const std::string& peer) = 0;

    // When nextMessage() next gives something for the peer unless something arrives before.
    virtual MonotonicTime messageDueAt(const std::string& peer) const = 0;

    // Answers to messages that nextMessage() gave.
    virtual void onAnswer(const std::string& peer, const PeerMessage& message, const PeerAnswer& answer) = 0;

    // A message that nextMessage() gave got no answer.
    virtual void onFailure(const std::string& peer, const PeerMessage& message) = 0;

    virtual schema::VoteResponse onVote(const schema::VoteRequest& request) = 0;
    virtual schema::AppendResponse onAppend(const schema::AppendRequest& request) = 0;
    virtual schema::SnapshotResponse onSnapshot(const schema::SnapshotRequest& request) = 0;
    virtual schema::DescribeResponse onDescribe(const schema::DescribeRequest& request) = 0;

    // Another controller asks to be sent the log. Only a leader takes it on.
    virtual schema::JoinResponse onJoin(const schema::JoinRequest& request) = 0;

    // The controllers that messages may be due to, without this one.
    virtual std::vector<ReplicaPeer> peers() const = 0;

    // Takes a command if this controller leads. It is accepted once the state machine is given it under the same term.
    virtual Proposal propose(const std::string& command) = 0;

    // Makes what was proposed durable; called after a batch of proposals.
    virtual void flush() = 0;

    virtual ReplicaRole role() const = 0;
    virtual std::uint64_t term() const = 0;

    // Whether this controller leads, has committed an entry of its term, and no other can lead now.
    virtual bool leaseLive() const = 0;

    // Whether leaseLive(), or a leader whose lease was live has been heard within the lease.
    virtual bool leaderHeard() const = 0;

    // Empty if unknown.
    virtual const std::string& leaderEndpoint() const = 0;
};

} // namespace clementinesill::control

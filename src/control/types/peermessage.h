#pragma once

#include "control.pb.h"
#include "foundation/iclock.h"

#include <variant>

namespace clementinesill::control {

// A request from one controller to another.
struct PeerMessage {
    std::variant<schema::VoteRequest, schema::AppendRequest, schema::SnapshotRequest, schema::DescribeRequest> request;
    // On the sender's clock.
    MonotonicTime sentAt;
};

using PeerResponse = std::variant<schema::VoteResponse, schema::AppendResponse, schema::SnapshotResponse, schema::DescribeResponse>;

} // namespace clementinesill::control

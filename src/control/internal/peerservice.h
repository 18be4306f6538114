#pragma once

#include "control.grpc.pb.h"

#include <boost/asio/io_context.hpp>

namespace clementinesill::control {

class ReplicatedCommandLog;
class ReplicatedLog;

// Serves the calls of the other controllers by passing them to the log on the control thread.
class PeerService final : public schema::Peers::CallbackService {
public:
    PeerService(boost::asio::io_context& context, ReplicatedCommandLog& log)
        : m_context(context)
        , m_log(log)
    {
    }

    grpc::ServerUnaryReactor* Vote(grpc::CallbackServerContext* call, const schema::VoteRequest* request, schema::VoteResponse* response) override;
    grpc::ServerUnaryReactor* Append(grpc::CallbackServerContext* call, const schema::AppendRequest* request, schema::AppendResponse* response) override;
    grpc::ServerUnaryReactor* InstallSnapshot(grpc::CallbackServerContext* call, const schema::SnapshotRequest* request, schema::SnapshotResponse* response) override;
    grpc::ServerUnaryReactor* Join(grpc::CallbackServerContext* call, const schema::JoinRequest* request, schema::JoinResponse* response) override;
    grpc::ServerUnaryReactor* LeaveGroup(grpc::CallbackServerContext* call, const schema::LeaveGroupRequest* request, schema::LeaveGroupResponse* response) override;
    grpc::ServerUnaryReactor* Describe(grpc::CallbackServerContext* call, const schema::DescribeRequest* request, schema::DescribeResponse* response) override;

private:
    // Calls the log's handler for the request on the control thread.
    template <typename Request, typename Response>
    grpc::ServerUnaryReactor* dispatch(grpc::CallbackServerContext* call, const Request* request, Response* response, Response (ReplicatedLog::*handler)(const Request&));

    boost::asio::io_context& m_context;
    ReplicatedCommandLog& m_log;
};

} // namespace clementinesill::control

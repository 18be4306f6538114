#include "control/internal/peerservice.h"

#include "control/internal/replicatedcommandlog.h"
#include "control/internal/unarycall.h"

namespace clementinesill::control {

template <typename Request, typename Response>
grpc::ServerUnaryReactor* PeerService::dispatch(grpc::CallbackServerContext* call, const Request* request, Response* response, Response (ReplicatedLog::*handler)(const Request&))
{
    return runUnaryCall(m_context, call, [this, request, response, handler]() -> boost::asio::awaitable<void> {
        *response = m_log.handlePeerRequest([&](auto& log) { return (log.*handler)(*request); });
        co_return;
    });
}

grpc::ServerUnaryReactor* PeerService::Vote(grpc::CallbackServerContext* call, const schema::VoteRequest* request, schema::VoteResponse* response)
{
    return dispatch(call, request, response, &ReplicatedLog::onVote);
}

grpc::ServerUnaryReactor* PeerService::Append(grpc::CallbackServerContext* call, const schema::AppendRequest* request, schema::AppendResponse* response)
{
    return dispatch(call, request, response, &ReplicatedLog::onAppend);
}

grpc::ServerUnaryReactor* PeerService::InstallSnapshot(grpc::CallbackServerContext* call, const schema::SnapshotRequest* request, schema::SnapshotResponse* response)
{
    return dispatch(call, request, response, &ReplicatedLog::onSnapshot);
}

grpc::ServerUnaryReactor* PeerService::Join(grpc::CallbackServerContext* call, const schema::JoinRequest* request, schema::JoinResponse* response)
{
    return dispatch(call, request, response, &ReplicatedLog::onJoin);
}

grpc::ServerUnaryReactor* PeerService::LeaveGroup(grpc::CallbackServerContext* call, const schema::LeaveGroupRequest* request, schema::LeaveGroupResponse* response)
{
    return dispatch(call, request, response, &ReplicatedLog::onLeaveGroup);
}

grpc::ServerUnaryReactor* PeerService::Describe(grpc::CallbackServerContext* call, const schema::DescribeRequest* request, schema::DescribeResponse* response)
{
    return dispatch(call, request, response, &ReplicatedLog::onDescribe);
}

} // namespace clementinesill::control

#include "control/internal/peerservice.h"

#include "control/internal/replicatedcommandlog.h"
#include "control/internal/unarycall.h"

namespace clementinesill::control {

template <typename Request, typename Response>
grpc::ServerUnaryReactor* PeerService::hand(grpc::CallbackServerContext* call, const Request* request, Response* response, Response (ReplicatedLog::*step)(const Request&))
{
    return runUnaryCall(m_context, call, [this, request, response, step]() -> boost::asio::awaitable<void> {
        *response = m_log.onPeer([&](auto& log) { return (log.*step)(*request); });
        co_return;
    });
}

grpc::ServerUnaryReactor* PeerService::Vote(grpc::CallbackServerContext* call, const schema::VoteRequest* request, schema::VoteResponse* response)
{
    return hand(call, request, response, &ReplicatedLog::onVote);
}

grpc::ServerUnaryReactor* PeerService::Append(grpc::CallbackServerContext* call, const schema::AppendRequest* request, schema::AppendResponse* response)
{
    return hand(call, request, response, &ReplicatedLog::onAppend);
}

grpc::ServerUnaryReactor* PeerService::InstallSnapshot(grpc::CallbackServerContext* call, const schema::SnapshotRequest* request, schema::SnapshotResponse* response)
{
    return hand(call, request, response, &ReplicatedLog::onSnapshot);
}

grpc::ServerUnaryReactor* PeerService::Join(grpc::CallbackServerContext* call, const schema::JoinRequest* request, schema::JoinResponse* response)
{
    return hand(call, request, response, &ReplicatedLog::onJoin);
}

grpc::ServerUnaryReactor* PeerService::Describe(grpc::CallbackServerContext* call, const schema::DescribeRequest* request, schema::DescribeResponse* response)
{
    return hand(call, request, response, &ReplicatedLog::onDescribe);
}

} // namespace clementinesill::control

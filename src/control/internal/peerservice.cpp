#include "control/internal/peerservice.h"

#include "control/internal/replicatedcommandlog.h"
#include "control/internal/rpcanswer.h"

namespace clementinesill::control {

grpc::ServerUnaryReactor* PeerService::Vote(grpc::CallbackServerContext* call, const schema::VoteRequest* request, schema::VoteResponse* response)
{
    return answer(m_context, call, [this, request, response]() -> boost::asio::awaitable<void> {
        *response = m_log.onPeer([&](auto& log) { return log.onVote(*request); });
        co_return;
    });
}

grpc::ServerUnaryReactor* PeerService::Append(grpc::CallbackServerContext* call, const schema::AppendRequest* request, schema::AppendResponse* response)
{
    return answer(m_context, call, [this, request, response]() -> boost::asio::awaitable<void> {
        *response = m_log.onPeer([&](auto& log) { return log.onAppend(*request); });
        co_return;
    });
}

grpc::ServerUnaryReactor* PeerService::InstallSnapshot(grpc::CallbackServerContext* call, const schema::SnapshotRequest* request, schema::SnapshotResponse* response)
{
    return answer(m_context, call, [this, request, response]() -> boost::asio::awaitable<void> {
        *response = m_log.onPeer([&](auto& log) { return log.onSnapshot(*request); });
        co_return;
    });
}

grpc::ServerUnaryReactor* PeerService::Join(grpc::CallbackServerContext* call, const schema::JoinRequest* request, schema::JoinResponse* response)
{
    return answer(m_context, call, [this, request, response]() -> boost::asio::awaitable<void> {
        *response = m_log.onPeer([&](auto& log) { return log.onJoin(*request); });
        co_return;
    });
}

grpc::ServerUnaryReactor* PeerService::Describe(grpc::CallbackServerContext* call, const schema::DescribeRequest* request, schema::DescribeResponse* response)
{
    return answer(m_context, call, [this, request, response]() -> boost::asio::awaitable<void> {
        *response = m_log.onPeer([&](auto& log) { return log.onDescribe(*request); });
        co_return;
    });
}

} // namespace clementinesill::control

#include "control/internal/rpcservices.h"

#include "net/credentials.h"

#include <boost/asio/detached.hpp>

namespace clementinesill::control {

using boost::asio::co_spawn;
using boost::asio::detached;

namespace {

// The request with the name of its sender's certificate, which goes before the name that the request claims.
template <typename Request>
Request identified(const grpc::CallbackServerContext& call, Request request)
{
    const auto name = net::peerName(*call.auth_context());
    if (!name.empty())
        request.set_operator_name(name);
    return request;
}

} // namespace

grpc::ServerWriteReactor<schema::TableUpdate>* FleetService::Watch(grpc::CallbackServerContext*, const schema::WatchRequest* request)
{
    auto writer = Controller::Watcher::create(m_context);
    co_spawn(
        m_context, [this, writer, request = *request] { return m_controller.watch(writer, request); }, detached);
    return writer.get();
}

grpc::ServerUnaryReactor* FleetService::Register(grpc::CallbackServerContext* call, const schema::ServerAnnouncement* request, schema::RegisterResponse* response)
{
    return answer(m_context, call, [this, request, response] { return m_controller.registerServer(*request, *response); });
}

grpc::ServerUnaryReactor* FleetService::Renew(grpc::CallbackServerContext* call, const schema::RenewRequest* request, schema::RenewResponse* response)
{
    return answer(m_context, call, [this, request, response] { return m_controller.renew(*request, *response); });
}

grpc::ServerUnaryReactor* FleetService::Leave(grpc::CallbackServerContext* call, const schema::LeaveRequest* request, schema::LeaveResponse* response)
{
    return answer(m_context, call, [this, request, response] { return m_controller.leave(*request, *response); });
}

grpc::ServerUnaryReactor* OperatorService::Apply(grpc::CallbackServerContext* call, const schema::ApplyRequest* request, schema::ChangeResponse* response)
{
    return answer(m_context, call, [this, request = identified(*call, *request), response] { return m_controller.applyFiles(request, *response); });
}

grpc::ServerUnaryReactor* OperatorService::SetZone(grpc::CallbackServerContext* call, const schema::SetZoneRequest* request, schema::ChangeResponse* response)
{
    return answer(m_context, call, [this, request = identified(*call, *request), response] { return m_controller.setZone(request, *response); });
}

grpc::ServerUnaryReactor* OperatorService::DrainServer(grpc::CallbackServerContext* call, const schema::DrainServerRequest* request, schema::ChangeResponse* response)
{
    return answer(m_context, call, [this, request = identified(*call, *request), response] { return m_controller.drainServer(request, *response); });
}

grpc::ServerUnaryReactor* OperatorService::ReadConfig(grpc::CallbackServerContext* call, const schema::ReadConfigRequest*, schema::ReadConfigResponse* response)
{
    return answer(m_context, call, [this, response] { return m_controller.readConfig(*response); });
}

grpc::ServerUnaryReactor* OperatorService::Status(grpc::CallbackServerContext* call, const schema::StatusRequest*, schema::StatusResponse* response)
{
    return answer(m_context, call, [this, response] { return m_controller.status(*response); });
}

grpc::ServerWriteReactor<schema::Event>* OperatorService::Events(grpc::CallbackServerContext*, const schema::EventsRequest* request)
{
    auto writer = Controller::EventWriter::create(m_context);
    co_spawn(
        m_context, [this, writer, request = *request] { return m_controller.events(writer, request); }, detached);
    return writer.get();
}

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

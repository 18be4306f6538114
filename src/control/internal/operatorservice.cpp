#include "control/internal/operatorservice.h"

#include "control/internal/controller.h"
#include "control/internal/unarycall.h"
#include "net/credentials.h"

#include <boost/asio/detached.hpp>

namespace clementinesill::control {

using boost::asio::co_spawn;
using boost::asio::detached;

namespace {

// Returns the request with the operator name replaced by the name in the client certificate, if there is one: the name in
// the request is not authenticated.
template <typename Request>
Request authenticated(const grpc::CallbackServerContext& call, Request request)
{
    const auto name = net::peerName(*call.auth_context());
    if (!name.empty())
        request.set_operator_name(name);
    return request;
}

} // namespace

grpc::ServerUnaryReactor* OperatorService::Apply(grpc::CallbackServerContext* call, const schema::ApplyRequest* request, schema::ChangeResponse* response)
{
    return runUnaryCall(m_context, call, [this, request = authenticated(*call, *request), response] { return m_controller.applyFiles(request, *response); });
}

grpc::ServerUnaryReactor* OperatorService::SetZone(grpc::CallbackServerContext* call, const schema::SetZoneRequest* request, schema::ChangeResponse* response)
{
    return runUnaryCall(m_context, call, [this, request = authenticated(*call, *request), response] { return m_controller.setZone(request, *response); });
}

grpc::ServerUnaryReactor* OperatorService::DrainServer(grpc::CallbackServerContext* call, const schema::DrainServerRequest* request, schema::ChangeResponse* response)
{
    return runUnaryCall(m_context, call, [this, request = authenticated(*call, *request), response] { return m_controller.drainServer(request, *response); });
}

grpc::ServerUnaryReactor* OperatorService::ReadConfig(grpc::CallbackServerContext* call, const schema::ReadConfigRequest*, schema::ReadConfigResponse* response)
{
    return runUnaryCall(m_context, call, [this, response] { return m_controller.readConfig(*response); });
}

grpc::ServerUnaryReactor* OperatorService::Status(grpc::CallbackServerContext* call, const schema::StatusRequest*, schema::StatusResponse* response)
{
    return runUnaryCall(m_context, call, [this, response] { return m_controller.status(*response); });
}

grpc::ServerWriteReactor<schema::Event>* OperatorService::Events(grpc::CallbackServerContext*, const schema::EventsRequest* request)
{
    auto writer = Controller::EventWriter::create(m_context);
    co_spawn(
        m_context, [this, writer, request = *request] { return m_controller.events(writer, request); }, detached);
    return writer.get();
}

} // namespace clementinesill::control

#include "control/internal/fleetservice.h"

#include "control/internal/controller.h"
#include "control/internal/unarycall.h"

#include <boost/asio/detached.hpp>

namespace clementinesill::control {

using boost::asio::co_spawn;
using boost::asio::detached;

grpc::ServerWriteReactor<schema::TableUpdate>* FleetService::Watch(grpc::CallbackServerContext*, const schema::WatchRequest* request)
{
    auto writer = Controller::TableWriter::create(m_context);
    co_spawn(
        m_context, [this, writer, request = *request] { return m_controller.watch(writer, request); }, detached);
    return writer.get();
}

grpc::ServerUnaryReactor* FleetService::Register(grpc::CallbackServerContext* call, const schema::ServerAnnouncement* request, schema::RegisterResponse* response)
{
    return runUnaryCall(m_context, call, [this, request, response] { return m_controller.registerServer(*request, *response); });
}

grpc::ServerUnaryReactor* FleetService::Renew(grpc::CallbackServerContext* call, const schema::RenewRequest* request, schema::RenewResponse* response)
{
    return runUnaryCall(m_context, call, [this, request, response] { return m_controller.renew(*request, *response); });
}

grpc::ServerUnaryReactor* FleetService::Leave(grpc::CallbackServerContext* call, const schema::LeaveRequest* request, schema::LeaveResponse* response)
{
    return runUnaryCall(m_context, call, [this, request, response] { return m_controller.leave(*request, *response); });
}

} // namespace clementinesill::control

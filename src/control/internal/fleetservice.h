#pragma once

#include "control.grpc.pb.h"

#include <boost/asio/io_context.hpp>

namespace clementinesill::control {

class Controller;

// gRPC service for balancers and agents. Runs each call as a coroutine of the Controller.
class FleetService final : public schema::Fleet::CallbackService {
public:
    FleetService(boost::asio::io_context& context, Controller& controller)
        : m_context(context)
        , m_controller(controller)
    {
    }

    grpc::ServerWriteReactor<schema::TableUpdate>* Watch(grpc::CallbackServerContext* call, const schema::WatchRequest* request) override;
    grpc::ServerUnaryReactor* Register(grpc::CallbackServerContext* call, const schema::ServerAnnouncement* request, schema::RegisterResponse* response) override;
    grpc::ServerUnaryReactor* Renew(grpc::CallbackServerContext* call, const schema::RenewRequest* request, schema::RenewResponse* response) override;
    grpc::ServerUnaryReactor* Leave(grpc::CallbackServerContext* call, const schema::LeaveRequest* request, schema::LeaveResponse* response) override;

private:
    boost::asio::io_context& m_context;
    Controller& m_controller;
};

} // namespace clementinesill::control

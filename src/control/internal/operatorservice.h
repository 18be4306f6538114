#pragma once

#include "control.grpc.pb.h"

#include <boost/asio/io_context.hpp>

namespace clementinesill::control {

class Controller;

// gRPC service for operators. Runs each call as a coroutine of the Controller.
class OperatorService final : public schema::Operators::CallbackService {
public:
    OperatorService(boost::asio::io_context& context, Controller& controller)
        : m_context(context)
        , m_controller(controller)
    {
    }

    grpc::ServerUnaryReactor* Apply(grpc::CallbackServerContext* call, const schema::ApplyRequest* request, schema::ChangeResponse* response) override;
    grpc::ServerUnaryReactor* SetZone(grpc::CallbackServerContext* call, const schema::SetZoneRequest* request, schema::ChangeResponse* response) override;
    grpc::ServerUnaryReactor* DrainServer(grpc::CallbackServerContext* call, const schema::DrainServerRequest* request, schema::ChangeResponse* response) override;
    grpc::ServerUnaryReactor* ReadConfig(grpc::CallbackServerContext* call, const schema::ReadConfigRequest* request, schema::ReadConfigResponse* response) override;
    grpc::ServerUnaryReactor* Status(grpc::CallbackServerContext* call, const schema::StatusRequest* request, schema::StatusResponse* response) override;
    grpc::ServerWriteReactor<schema::Event>* Events(grpc::CallbackServerContext* call, const schema::EventsRequest* request) override;

private:
    boost::asio::io_context& m_context;
    Controller& m_controller;
};

} // namespace clementinesill::control

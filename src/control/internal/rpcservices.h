#pragma once

#include "control.grpc.pb.h"
#include "control/internal/controller.h"
#include "control/internal/replicatedcommandlog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <utility>

namespace clementinesill::control {

// Runs the task as a coroutine on the control thread and ends the call once it has returned.
template <typename Task>
grpc::ServerUnaryReactor* answer(boost::asio::io_context& context, grpc::CallbackServerContext* call, Task task)
{
    auto* reactor = call->DefaultReactor();
    boost::asio::co_spawn(context, std::move(task), [reactor](const std::exception_ptr& failure) {
        reactor->Finish(failure ? grpc::Status(grpc::StatusCode::INTERNAL, "the call failed; see the controller's log") : grpc::Status::OK);
    });
    return reactor;
}

// Calls of balancers and agents, each handed to a coroutine.
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

// Calls of operators, each handed to a coroutine.
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

// Calls of the other controllers, handed to the log on the control thread.
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
    grpc::ServerUnaryReactor* Describe(grpc::CallbackServerContext* call, const schema::DescribeRequest* request, schema::DescribeResponse* response) override;

private:
    boost::asio::io_context& m_context;
    ReplicatedCommandLog& m_log;
};

} // namespace clementinesill::control

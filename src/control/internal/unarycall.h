#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <grpcpp/grpcpp.h>
#include <utility>

namespace clementinesill::control {

// Runs the task as a coroutine on the control thread and completes the call when the coroutine returns.
template <typename Task>
grpc::ServerUnaryReactor* runUnaryCall(boost::asio::io_context& context, grpc::CallbackServerContext* call, Task task)
{
    auto* reactor = call->DefaultReactor();
    boost::asio::co_spawn(context, std::move(task), [reactor](const std::exception_ptr& failure) {
        reactor->Finish(failure ? grpc::Status(grpc::StatusCode::INTERNAL, "the call failed; see the log of the controller") : grpc::Status::OK);
    });
    return reactor;
}

} // namespace clementinesill::control

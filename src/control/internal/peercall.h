#pragma once

#include "control.grpc.pb.h"
#include "control/internal/wakeup.h"

#include <boost/asio/post.hpp>
#include <functional>
#include <grpcpp/grpcpp.h>
#include <memory>
#include <optional>

namespace clementinesill::control {

// Interval at which a cancelled call is checked for its end.
constexpr auto cancelPollInterval = std::chrono::milliseconds(30);

// State of one call between controllers; shared by the coroutine and the gRPC callback, so it outlives both.
template <typename Request, typename Response>
struct PeerCallState {
    explicit PeerCallState(boost::asio::io_context& context)
        : done(context)
    {
    }

    grpc::ClientContext context;
    Request request;
    Response response;
    grpc::Status status;
    bool finished = false;
    Wakeup done;
};

// A method of the asynchronous stub.
template <typename Request, typename Response>
using PeerMethod = void (schema::Peers::Stub::async_interface::*)(grpc::ClientContext*, const Request*, Response*, std::function<void(grpc::Status)>);

// Calls another controller and waits on the control thread; empty optional if the call failed. Cancels the call once
// stopping is set, and returns only after the call has ended.
template <typename Response, typename Request>
boost::asio::awaitable<std::optional<Response>> callPeer(boost::asio::io_context& loop, schema::Peers::Stub& stub, PeerMethod<Request, Response> method, const Request& request, std::chrono::milliseconds timeout, const bool& stopping)
{
    const auto state = std::make_shared<PeerCallState<Request, Response>>(loop);
    state->request = request;
    state->context.set_deadline(std::chrono::system_clock::now() + timeout);
    (stub.async()->*method)(&state->context, &state->request, &state->response, [state, &loop](const grpc::Status& status) {
        boost::asio::post(loop, [state, status] {
            state->status = status;
            state->finished = true;
            state->done.wake();
        });
    });
    while (!state->finished) {
        if (stopping)
            state->context.TryCancel();
        co_await state->done.wait(stopping ? cancelPollInterval : timeout);
    }
    if (!state->status.ok())
        co_return std::nullopt;
    co_return std::move(state->response);
}

// Creates a stub for the controller at the endpoint.
std::unique_ptr<schema::Peers::Stub> peerStub(const std::string& endpoint, const std::shared_ptr<grpc::ChannelCredentials>& credentials);

} // namespace clementinesill::control

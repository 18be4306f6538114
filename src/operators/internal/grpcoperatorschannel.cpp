#include "operators/grpcoperatorschannel.h"

#include "control.grpc.pb.h"
#include "foundation/error.h"

#include <algorithm>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>

namespace clementinesill::operators {

namespace {

constexpr std::chrono::milliseconds connectTimeout { 1000 };
constexpr int maximumMessageBytes = 64 << 20;

// An event stream has no deadline; keepalives detect a controller that no longer responds.
constexpr int keepaliveIntervalMs = 10'000;
constexpr int keepaliveTimeoutMs = 5'000;

std::chrono::system_clock::time_point deadlineAfter(std::chrono::milliseconds timeout)
{
    return std::chrono::system_clock::now() + timeout;
}

[[noreturn]] void throwNetworkError(const std::string& controller, const grpc::Status& status)
{
    throw Error(ErrorKind::Network, "no response from controller " + controller + " (" + status.error_message() + ")", "check the controller's log and the network");
}

} // namespace

GrpcOperatorsChannel::GrpcOperatorsChannel(std::shared_ptr<grpc::ChannelCredentials> credentials)
    : m_credentials(std::move(credentials))
{
}

GrpcOperatorsChannel::~GrpcOperatorsChannel() = default;

std::shared_ptr<grpc::Channel> GrpcOperatorsChannel::connect(const std::string& controller, std::chrono::milliseconds timeout)
{
    auto& channel = m_channels[controller];
    if (!channel) {
        grpc::ChannelArguments arguments;
        arguments.SetMaxReceiveMessageSize(maximumMessageBytes);
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepaliveIntervalMs);
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepaliveTimeoutMs);
        channel = grpc::CreateCustomChannel(controller, m_credentials, arguments);
    }
    if (!channel->WaitForConnected(deadlineAfter(std::min(timeout, connectTimeout))))
        throw Error(ErrorKind::Unavailable, "controller " + controller + " cannot be reached", "check that it is running and that --controllers names its gRPC endpoint");
    return channel;
}

template <typename Request, typename Response, typename Method>
Response GrpcOperatorsChannel::call(const std::string& controller, const Request& request, std::chrono::milliseconds timeout, Method method)
{
    const auto deadline = deadlineAfter(timeout);
    const auto stub = schema::Operators::NewStub(connect(controller, timeout));
    grpc::ClientContext context;
    context.set_deadline(deadline);
    Response response;
    const auto status = ((*stub).*method)(&context, request, &response);
    if (!status.ok())
        throwNetworkError(controller, status);
    return response;
}

schema::ChangeResponse GrpcOperatorsChannel::apply(const std::string& controller, const schema::ApplyRequest& request, std::chrono::milliseconds timeout)
{
    return call<schema::ApplyRequest, schema::ChangeResponse>(controller, request, timeout, &schema::Operators::Stub::Apply);
}

schema::ChangeResponse GrpcOperatorsChannel::setZone(const std::string& controller, const schema::SetZoneRequest& request, std::chrono::milliseconds timeout)
{
    return call<schema::SetZoneRequest, schema::ChangeResponse>(controller, request, timeout, &schema::Operators::Stub::SetZone);
}

schema::ChangeResponse GrpcOperatorsChannel::drainServer(const std::string& controller, const schema::DrainServerRequest& request, std::chrono::milliseconds timeout)
{
    return call<schema::DrainServerRequest, schema::ChangeResponse>(controller, request, timeout, &schema::Operators::Stub::DrainServer);
}

schema::ReadConfigResponse GrpcOperatorsChannel::readConfig(const std::string& controller, const schema::ReadConfigRequest& request, std::chrono::milliseconds timeout)
{
    return call<schema::ReadConfigRequest, schema::ReadConfigResponse>(controller, request, timeout, &schema::Operators::Stub::ReadConfig);
}

schema::StatusResponse GrpcOperatorsChannel::status(const std::string& controller, const schema::StatusRequest& request, std::chrono::milliseconds timeout)
{
    return call<schema::StatusRequest, schema::StatusResponse>(controller, request, timeout, &schema::Operators::Stub::Status);
}

void GrpcOperatorsChannel::events(const std::string& controller, const schema::EventsRequest& request, const std::function<bool(const schema::Event&)>& onEvent)
{
    const auto stub = schema::Operators::NewStub(connect(controller, connectTimeout));
    grpc::ClientContext context;
    const auto reader = stub->Events(&context, request);
    schema::Event event;
    while (reader->Read(&event)) {
        if (!onEvent(event)) {
            context.TryCancel();
            reader->Finish();
            return;
        }
    }
    const auto status = reader->Finish();
    if (!status.ok())
        throwNetworkError(controller, status);
}

} // namespace clementinesill::operators

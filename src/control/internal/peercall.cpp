#include "control/internal/peercall.h"

namespace clementinesill::control {

namespace {

// A snapshot is sent in one message.
constexpr int maximumMessageBytes = 256 << 20;

} // namespace

std::unique_ptr<schema::Peers::Stub> peerStub(const std::string& endpoint, const std::shared_ptr<grpc::ChannelCredentials>& credentials)
{
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(maximumMessageBytes);
    arguments.SetMaxSendMessageSize(maximumMessageBytes);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 200);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    return schema::Peers::NewStub(grpc::CreateCustomChannel(endpoint, credentials, arguments));
}

} // namespace clementinesill::control

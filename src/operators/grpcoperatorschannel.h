#pragma once

#include "operators/ioperatorschannel.h"

#include <map>
#include <memory>

namespace grpc {
class Channel;
class ChannelCredentials;
} // namespace grpc

namespace clementinesill::operators {

// Calls controllers over gRPC and keeps a connection to each. Not thread-safe.
class GrpcOperatorsChannel final : public IOperatorsChannel {
public:
    explicit GrpcOperatorsChannel(std::shared_ptr<grpc::ChannelCredentials> credentials);
    ~GrpcOperatorsChannel() override;

    schema::ChangeResponse apply(const std::string& controller, const schema::ApplyRequest& request, std::chrono::milliseconds timeout) override;
    schema::ChangeResponse setZone(const std::string& controller, const schema::SetZoneRequest& request, std::chrono::milliseconds timeout) override;
    schema::ChangeResponse drainServer(const std::string& controller, const schema::DrainServerRequest& request, std::chrono::milliseconds timeout) override;
    schema::ReadConfigResponse readConfig(const std::string& controller, const schema::ReadConfigRequest& request, std::chrono::milliseconds timeout) override;
    schema::StatusResponse status(const std::string& controller, const schema::StatusRequest& request, std::chrono::milliseconds timeout) override;
    void events(const std::string& controller, const schema::EventsRequest& request, const std::function<bool(const schema::Event&)>& onEvent) override;

private:
    // Throws Error (Unavailable) if the connection is not established in time.
    std::shared_ptr<grpc::Channel> connect(const std::string& controller, std::chrono::milliseconds timeout);

    template <typename Request, typename Response, typename Method>
    Response call(const std::string& controller, const Request& request, std::chrono::milliseconds timeout, Method method);

    std::shared_ptr<grpc::ChannelCredentials> m_credentials;
    std::map<std::string, std::shared_ptr<grpc::Channel>> m_channels;
};

} // namespace clementinesill::operators

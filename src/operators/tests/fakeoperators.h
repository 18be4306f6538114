#pragma once

#include "control.grpc.pb.h"

#include <grpcpp/server.h>
#include <memory>
#include <string>
#include <vector>

namespace clementinesill::operators {

// Operators service of a fake controller on loopback, with responses set by the test.
class FakeOperators final : public schema::Operators::Service {
public:
    // Serves on 127.0.0.1:port until destroyed.
    explicit FakeOperators(int port);
    ~FakeOperators() override;

    const std::string& endpoint() const { return m_endpoint; }

    grpc::Status Apply(grpc::ServerContext*, const schema::ApplyRequest* request, schema::ChangeResponse* response) override;
    grpc::Status SetZone(grpc::ServerContext*, const schema::SetZoneRequest* request, schema::ChangeResponse* response) override;
    grpc::Status DrainServer(grpc::ServerContext*, const schema::DrainServerRequest* request, schema::ChangeResponse* response) override;
    grpc::Status ReadConfig(grpc::ServerContext*, const schema::ReadConfigRequest*, schema::ReadConfigResponse* response) override;
    grpc::Status Status(grpc::ServerContext*, const schema::StatusRequest*, schema::StatusResponse* response) override;
    grpc::Status Events(grpc::ServerContext*, const schema::EventsRequest* request, grpc::ServerWriter<schema::Event>* writer) override;

    // Responses; set before the first call.
    schema::Outcome changeOutcome;
    schema::ReadConfigResponse config;
    schema::StatusResponse status;
    std::vector<schema::Event> events;

    // Received requests in order.
    std::vector<schema::ApplyRequest> applied;
    std::vector<schema::SetZoneRequest> zones;
    std::vector<schema::DrainServerRequest> drains;

private:
    std::string m_endpoint;
    std::unique_ptr<grpc::Server> m_server;
};

} // namespace clementinesill::operators

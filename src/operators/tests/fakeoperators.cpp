#include "fakeoperators.h"

#include <grpcpp/server_builder.h>

namespace clementinesill::operators {

FakeOperators::FakeOperators(int port)
    : m_endpoint("127.0.0.1:" + std::to_string(port))
{
    for (auto* outcome : { &changeOutcome, config.mutable_outcome(), status.mutable_outcome() })
        outcome->set_code(schema::Outcome::CODE_OK);
    grpc::ServerBuilder builder;
    builder.AddListeningPort(m_endpoint, grpc::InsecureServerCredentials());
    builder.RegisterService(this);
    m_server = builder.BuildAndStart();
}

FakeOperators::~FakeOperators()
{
    m_server->Shutdown(std::chrono::system_clock::now());
}

grpc::Status FakeOperators::Apply(grpc::ServerContext*, const schema::ApplyRequest* request, schema::ChangeResponse* response)
{
    applied.push_back(*request);
    *response->mutable_outcome() = changeOutcome;
    response->set_revision(request->base_revision() + 1);
    return grpc::Status::OK;
}

grpc::Status FakeOperators::SetZone(grpc::ServerContext*, const schema::SetZoneRequest* request, schema::ChangeResponse* response)
{
    zones.push_back(*request);
    *response->mutable_outcome() = changeOutcome;
    response->set_revision(request->base_revision() + 1);
    return grpc::Status::OK;
}

grpc::Status FakeOperators::DrainServer(grpc::ServerContext*, const schema::DrainServerRequest* request, schema::ChangeResponse* response)
{
    drains.push_back(*request);
    *response->mutable_outcome() = changeOutcome;
    return grpc::Status::OK;
}

grpc::Status FakeOperators::ReadConfig(grpc::ServerContext*, const schema::ReadConfigRequest*, schema::ReadConfigResponse* response)
{
    *response = config;
    return grpc::Status::OK;
}

grpc::Status FakeOperators::Status(grpc::ServerContext*, const schema::StatusRequest*, schema::StatusResponse* response)
{
    *response = status;
    return grpc::Status::OK;
}

grpc::Status FakeOperators::Events(grpc::ServerContext*, const schema::EventsRequest* request, grpc::ServerWriter<schema::Event>* writer)
{
    for (const auto& event : events) {
        if (event.number() > request->after())
            writer->Write(event);
    }
    return grpc::Status::OK;
}

} // namespace clementinesill::operators

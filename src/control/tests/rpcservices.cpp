#include "control/controllermodule.h"

#include "control.grpc.pb.h"
#include "foundation/metrics.h"
#include "net/credentials.h"
#include "net/tests/testauthority.h"
#include "settings.pb.h"

#include <CppUTest/TestHarness.h>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <grpcpp/grpcpp.h>
#include <memory>
#include <thread>

using namespace clementinesill;

namespace {

const std::string endpoint = "127.0.0.1:21110";
// Upper limit for a failing test; a passing test does not wait for it.
constexpr auto callTimeout = std::chrono::seconds(30);

schema::TlsSettings tlsSettings(const net::TestAuthority& authority, const std::string& name)
{
    schema::TlsSettings tls;
    tls.set_certificate_file(authority.file(name + ".pem"));
    tls.set_key_file(authority.file(name + ".key"));
    tls.set_authority_file(authority.file("fleet-ca.pem"));
    return tls;
}

std::unique_ptr<schema::Operators::Stub> connect(const std::shared_ptr<grpc::ChannelCredentials>& credentials)
{
    return schema::Operators::NewStub(grpc::CreateChannel(endpoint, credentials));
}

// Sets the deadline of the call and whether it waits until the controller accepts connections.
void configureCall(grpc::ClientContext& call, bool waitForReady)
{
    call.set_wait_for_ready(waitForReady);
    call.set_deadline(std::chrono::system_clock::now() + callTimeout);
}

} // namespace

// A single controller that uses TLS.
TEST_GROUP(RpcServices)
{
    void setup() override
    {
        std::string pattern = std::filesystem::temp_directory_path() / "rpcservices-XXXXXX";
        folder = mkdtemp(pattern.data());
        authority = std::make_unique<net::TestAuthority>(folder, "fleet");
        authority->issue("control-1");
        authority->issue("ana");
        schema::DaemonSettings settings;
        settings.set_name("control-1");
        *settings.mutable_tls() = tlsSettings(*authority, "control-1");
        settings.mutable_controller()->set_endpoint(endpoint);
        settings.mutable_controller()->set_data_folder(folder + "/data");
        auto& peer = *settings.mutable_controller()->add_peers();
        peer.set_name("control-1");
        peer.set_endpoint(endpoint);
        module = control::makeControllerModule(settings, metrics);
        module->start();
    }

    void teardown() override
    {
        module->stop();
        module.reset();
        authority.reset();
        std::filesystem::remove_all(folder);
    }

    std::string folder;
    MetricsRegistry metrics;
    std::unique_ptr<net::TestAuthority> authority;
    std::unique_ptr<IRoleModule> module;
};

TEST(RpcServices, RejectsPlaintextWhenTlsIsConfigured)
{
    grpc::ClientContext call;
    configureCall(call, false);
    schema::StatusResponse response;
    CHECK_FALSE(connect(grpc::InsecureChannelCredentials())->Status(&call, {}, &response).ok());
}

TEST(RpcServices, EventsContainOperatorNameFromCertificate)
{
    const std::string endpoints[] { endpoint };
    const auto stub = connect(net::Credentials(tlsSettings(*authority, "ana"), endpoints).channel());
    schema::ApplyRequest request;
    request.set_request_id("one");
    request.set_operator_name("eve");
    auto& file = *request.add_files();
    file.set_name("10.json");
    file.set_content(R"({"zones": [{"name": "mandaue"}]})");
    schema::ChangeResponse response;
    const auto deadline = std::chrono::steady_clock::now() + callTimeout;
    while (response.outcome().code() != schema::Outcome::CODE_OK && std::chrono::steady_clock::now() < deadline) {
        grpc::ClientContext call;
        configureCall(call, true);
        CHECK(stub->Apply(&call, request, &response).ok());
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    LONGS_EQUAL(schema::Outcome::CODE_OK, response.outcome().code());
    grpc::ClientContext call;
    configureCall(call, true);
    schema::Event event;
    const auto reader = stub->Events(&call, {});
    std::string name;
    while (reader->Read(&event))
        name = event.operator_name().empty() ? name : event.operator_name();
    STRCMP_EQUAL("ana", name.c_str());
}

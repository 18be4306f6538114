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
// A failing test ends after this long; a passing one does not depend on it.
constexpr auto callTimeout = std::chrono::seconds(30);

schema::TlsSettings keyFiles(const net::TestAuthority& authority, const std::string& name)
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

// The call's deadline, and whether it waits for the controller to serve.
void prepare(grpc::ClientContext& call, bool wait)
{
    call.set_wait_for_ready(wait);
    call.set_deadline(std::chrono::system_clock::now() + callTimeout);
}

} // namespace

// One controller with key files.
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
        *settings.mutable_tls() = keyFiles(*authority, "control-1");
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

TEST(RpcServices, RefusesPlainTextOnceKeyFilesAreSet)
{
    grpc::ClientContext call;
    prepare(call, false);
    schema::StatusResponse response;
    CHECK_FALSE(connect(grpc::InsecureChannelCredentials())->Status(&call, {}, &response).ok());
}

TEST(RpcServices, EventsNameTheCertificateNotTheClaim)
{
    const std::string endpoints[] { endpoint };
    const auto stub = connect(net::Credentials(keyFiles(*authority, "ana"), endpoints).channel());
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
        prepare(call, true);
        CHECK(stub->Apply(&call, request, &response).ok());
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    LONGS_EQUAL(schema::Outcome::CODE_OK, response.outcome().code());
    grpc::ClientContext call;
    prepare(call, true);
    schema::Event event;
    const auto reader = stub->Events(&call, {});
    std::string name;
    while (reader->Read(&event))
        name = event.operator_name().empty() ? name : event.operator_name();
    STRCMP_EQUAL("ana", name.c_str());
}

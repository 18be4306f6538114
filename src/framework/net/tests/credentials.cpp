#include "net/credentials.h"

#include "control.grpc.pb.h"
#include "foundation/error.h"
#include "settings.pb.h"
#include "testauthority.h"

#include <CppUTest/TestHarness.h>
#include <filesystem>
#include <fstream>
#include <grpcpp/create_channel.h>
#include <grpcpp/server_builder.h>
#include <optional>

using namespace clementinesill;
using namespace clementinesill::net;

namespace {

constexpr auto serverEndpoint = "127.0.0.1:23200";

// Responds to a status request with the common name of the client's certificate.
class PeerNameService final : public schema::Operators::Service {
    grpc::Status Status(grpc::ServerContext* context, const schema::StatusRequest*, schema::StatusResponse* response) override
    {
        response->mutable_self()->set_id(peerName(*context->auth_context()));
        return grpc::Status::OK;
    }
};

} // namespace

TEST_GROUP(Credentials)
{
    std::string folder;
    std::unique_ptr<TestAuthority> authority;

    void setup() override
    {
        char path[] = "/tmp/clementinesill-test-XXXXXX";
        folder = mkdtemp(path);
        authority = std::make_unique<TestAuthority>(folder, "fleet");
        authority->issue("c1");
        authority->issue("ana");
    }

    void teardown() override { std::filesystem::remove_all(folder); }

    schema::TlsSettings tlsSettings(const std::string& certificate, const std::string& key, const std::string& ca = "fleet-ca.pem")
    {
        schema::TlsSettings settings;
        settings.set_certificate_file(folder + "/" + certificate);
        settings.set_key_file(folder + "/" + key);
        settings.set_authority_file(folder + "/" + ca);
        return settings;
    }

    std::string readText(const std::string& name)
    {
        std::ifstream stream(folder + "/" + name);
        return { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
    }

    Credentials credentials(const schema::TlsSettings& settings)
    {
        const std::vector<std::string> endpoints { "10.0.0.1:7000" };
        return { settings, endpoints };
    }

    std::optional<Error> errorOf(const schema::TlsSettings& settings)
    {
        try {
            credentials(settings);
        } catch (const Error& error) {
            return error;
        }
        return std::nullopt;
    }

    // Returns the peer name that a server with certificate c1 sees for the client; empty if it rejects the call.
    std::string peerNameSeenByServer(const std::shared_ptr<grpc::ChannelCredentials>& channelCredentials)
    {
        PeerNameService service;
        grpc::ServerBuilder builder;
        builder.AddListeningPort(serverEndpoint, credentials(tlsSettings("c1.pem", "c1.key")).server());
        builder.RegisterService(&service);
        const auto server = builder.BuildAndStart();
        const auto stub = schema::Operators::NewStub(grpc::CreateChannel(serverEndpoint, channelCredentials));
        grpc::ClientContext context;
        schema::StatusResponse response;
        const auto status = stub->Status(&context, {}, &response);
        server->Shutdown(std::chrono::system_clock::now());
        return status.ok() ? response.self().id() : "";
    }
};

TEST(Credentials, AllowsPlaintextOnLoopbackOnly)
{
    const std::vector<std::string> loopback { "127.0.0.1:7000", "127.8.0.1:7000" };
    CHECK(Credentials({}, loopback).isPlaintext());
    const auto error = errorOf({});
    CHECK(error && error->kind() == ErrorKind::InvalidSettings);
    STRCMP_EQUAL("set tls.certificateFile, tls.keyFile and tls.authorityFile", error->remedy().c_str());
}

TEST(Credentials, MutualTlsIdentifiesClient)
{
    STRCMP_EQUAL("ana", peerNameSeenByServer(credentials(tlsSettings("ana.pem", "ana.key")).channel()).c_str());
}

TEST(Credentials, RejectsClientWithoutCertificateOfSameAuthority)
{
    TestAuthority other(folder, "other");
    other.issue("eve");
    STRCMP_EQUAL("", peerNameSeenByServer(grpc::InsecureChannelCredentials()).c_str());
    STRCMP_EQUAL("", peerNameSeenByServer(grpc::SslCredentials({ .pem_root_certs = readText("fleet-ca.pem") })).c_str());
    STRCMP_EQUAL("", peerNameSeenByServer(grpc::SslCredentials({ .pem_root_certs = readText("fleet-ca.pem"), .pem_private_key = readText("eve.key"), .pem_cert_chain = readText("eve.pem") })).c_str());
    STRCMP_EQUAL("", peerNameSeenByServer(credentials(tlsSettings("eve.pem", "eve.key", "other-ca.pem")).channel()).c_str());
}

TEST(Credentials, RejectsInvalidOrMismatchedFiles)
{
    TestAuthority other(folder, "other");
    authority->issue("late", -1);
    const auto isRejected = [this](const schema::TlsSettings& settings) { return errorOf(settings).has_value(); };
    CHECK(!isRejected(tlsSettings("c1.pem", "c1.key")));
    CHECK(isRejected(tlsSettings("c1.pem", "ana.key")));
    CHECK(isRejected(tlsSettings("c1.pem", "c1.key", "other-ca.pem")));
    CHECK(isRejected(tlsSettings("late.pem", "late.key")));
    CHECK(isRejected(tlsSettings("c1.key", "c1.key")));
    CHECK(isRejected(tlsSettings("c1.pem", "c1.pem")));
    CHECK(isRejected(tlsSettings("none.pem", "c1.key")));
}

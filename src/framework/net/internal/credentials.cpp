#include "net/credentials.h"

#include "foundation/error.h"
#include "foundation/log.h"
#include "foundation/types/endpoint.h"
#include "net/internal/certificatecheck.h"
#include "settings.pb.h"

#include <grpcpp/security/auth_context.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>
#include <vector>

namespace clementinesill::net {

namespace {

void requireLoopback(std::span<const std::string> endpoints)
{
    constexpr std::uint32_t loopbackNetwork = 127;
    for (const auto& endpoint : endpoints) {
        if (parseEndpoint(endpoint).address >> 24 != loopbackNetwork)
            throw Error(ErrorKind::InvalidSettings, "gRPC without TLS to " + endpoint + " would leave the VM", "set tls.certificateFile, tls.keyFile and tls.authorityFile");
    }
}

} // namespace

Credentials::Credentials(const schema::TlsSettings& settings, std::span<const std::string> endpoints)
{
    const bool tlsConfigured = !settings.certificate_file().empty() || !settings.key_file().empty() || !settings.authority_file().empty();
    if (!tlsConfigured) {
        requireLoopback(endpoints);
        return;
    }
    const auto material = readKeyMaterial(settings);
    m_certificate = material.certificate;
    m_key = material.key;
    m_authority = material.authority;
}

std::shared_ptr<grpc::ServerCredentials> Credentials::server() const
{
    if (isPlaintext())
        return grpc::InsecureServerCredentials();
    grpc::SslServerCredentialsOptions options(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    options.pem_root_certs = m_authority;
    options.pem_key_cert_pairs.push_back({ m_key, m_certificate });
    return grpc::SslServerCredentials(options);
}

std::shared_ptr<grpc::ChannelCredentials> Credentials::channel() const
{
    if (isPlaintext())
        return grpc::InsecureChannelCredentials();
    return grpc::SslCredentials({ .pem_root_certs = m_authority, .pem_private_key = m_key, .pem_cert_chain = m_certificate });
}

Credentials daemonCredentials(const schema::DaemonSettings& settings)
{
    std::vector<std::string> endpoints(settings.controllers().begin(), settings.controllers().end());
    if (settings.has_controller())
        endpoints.push_back(settings.controller().endpoint());
    for (const auto& peer : settings.controller().peers())
        endpoints.push_back(peer.endpoint());
    // plain_network declares the network trusted, so the endpoints need not be on loopback.
    if (settings.plain_network())
        endpoints.clear();
    Credentials credentials(settings.tls(), endpoints);
    if (credentials.isPlaintext())
        log(LogLevel::Warn, "grpc_plain", { { "reason", settings.plain_network() ? "the settings declare the network trusted" : "no TLS files are set and every gRPC endpoint is on loopback" } });
    return credentials;
}

std::string peerName(const grpc::AuthContext& context)
{
    const auto names = context.FindPropertyValues(GRPC_X509_CN_PROPERTY_NAME);
    if (names.empty())
        return {};
    return { names.front().data(), names.front().size() };
}

} // namespace clementinesill::net

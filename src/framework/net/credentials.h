#pragma once

#include <memory>
#include <span>
#include <string>

namespace grpc {
class AuthContext;
class ChannelCredentials;
class ServerCredentials;
} // namespace grpc

namespace clementinesill::schema {
class DaemonSettings;
class TlsSettings;
} // namespace clementinesill::schema

namespace clementinesill::net {

// Credentials for gRPC between the system's processes: mutual TLS, or plaintext if no TLS files are set and all
// connections stay on loopback.
class Credentials {
public:
    // endpoints: all gRPC endpoints that the process serves or connects to, as "ADDRESS:PORT".
    // Throws Error (InvalidSettings) if a file is unreadable, the key does not match the certificate, the certificate is
    // not signed by the authority or not valid now, or no TLS files are set and an endpoint is not on loopback.
    Credentials(const schema::TlsSettings& settings, std::span<const std::string> endpoints);

    bool isPlaintext() const { return m_certificate.empty(); }
    std::shared_ptr<grpc::ServerCredentials> server() const;
    std::shared_ptr<grpc::ChannelCredentials> channel() const;

private:
    // In PEM format; empty for plaintext.
    std::string m_certificate;
    std::string m_key;
    std::string m_authority;
};

// Returns credentials for all gRPC endpoints in a daemon's settings; logs a warning if they are plaintext.
// Throws Error (InvalidSettings) like the constructor of Credentials.
Credentials daemonCredentials(const schema::DaemonSettings& settings);

// Returns the common name of the peer's certificate; empty if the connection is plaintext.
std::string peerName(const grpc::AuthContext& context);

} // namespace clementinesill::net

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

// Credentials of gRPC between the system's processes: TLS with certificates on both sides, or plain text if no key files
// are set and nothing leaves the VM.
class Credentials {
public:
    // endpoints are all gRPC endpoints that the process serves or reaches, "ADDRESS:PORT".
    // Throws Error: InvalidSettings if a file is unreadable, the key does not fit the certificate, the authority did not
    // sign it, its dates exclude now, or TLS is missing while an endpoint is not on loopback.
    Credentials(const schema::TlsSettings& settings, std::span<const std::string> endpoints);

    bool plain() const { return m_certificate.empty(); }
    std::shared_ptr<grpc::ServerCredentials> server() const;
    std::shared_ptr<grpc::ChannelCredentials> channel() const;

private:
    // PEM texts; empty for plain text.
    std::string m_certificate;
    std::string m_key;
    std::string m_authority;
};

// Credentials for all gRPC endpoints of a daemon's settings. Writes a log line when they are plain. Throws as above.
Credentials daemonCredentials(const schema::DaemonSettings& settings);

// Common name of the peer's certificate; empty if the connection is plain.
std::string peerName(const grpc::AuthContext& context);

} // namespace clementinesill::net

#pragma once

#include <openssl/x509.h>
#include <string>

namespace clementinesill::net {

// A temporary certificate authority. Files are written to the given folder.
class TestAuthority {
public:
    // Writes NAME-ca.pem.
    TestAuthority(std::string folder, std::string name);
    ~TestAuthority();
    TestAuthority(const TestAuthority&) = delete;
    TestAuthority& operator=(const TestAuthority&) = delete;

    // Issues a certificate for the address 127.0.0.1 that expires `days` from now, and writes COMMONNAME.pem and
    // COMMONNAME.key. A negative number makes a certificate that has expired.
    void issue(const std::string& commonName, int days = 1);

    std::string file(const std::string& name) const { return m_folder + "/" + name; }

private:
    std::string m_folder;
    std::string m_name;
    EVP_PKEY* m_key;
    X509* m_certificate;
};

} // namespace clementinesill::net

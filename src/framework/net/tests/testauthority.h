#pragma once

#include <openssl/x509.h>
#include <string>

namespace clementinesill::net {

// A certificate authority made for one test. Files are written to a folder of the test's.
class TestAuthority {
public:
    // Writes NAME-ca.pem.
    TestAuthority(std::string folder, std::string name);
    ~TestAuthority();
    TestAuthority(const TestAuthority&) = delete;
    TestAuthority& operator=(const TestAuthority&) = delete;

    // Writes COMMONNAME.pem and COMMONNAME.key, for address 127.0.0.1, valid until days from now.
    void issue(const std::string& commonName, int days = 1);

    std::string file(const std::string& name) const { return m_folder + "/" + name; }

private:
    std::string m_folder;
    std::string m_name;
    EVP_PKEY* m_key;
    X509* m_certificate;
};

} // namespace clementinesill::net

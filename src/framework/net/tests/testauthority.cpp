#include "testauthority.h"

#include <cstdio>
#include <openssl/ec.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

namespace clementinesill::net {

namespace {

constexpr long secondsPerDay = 86'400;

X509* createCertificate(const std::string& commonName, EVP_PKEY* key, long notBefore, long notAfter)
{
    auto* certificate = X509_new();
    X509_set_version(certificate, X509_VERSION_3);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate), notBefore);
    X509_gmtime_adj(X509_getm_notAfter(certificate), notAfter);
    X509_set_pubkey(certificate, key);
    const auto* text = reinterpret_cast<const unsigned char*>(commonName.c_str());
    X509_NAME_add_entry_by_txt(X509_get_subject_name(certificate), "CN", MBSTRING_ASC, text, -1, -1, 0);
    return certificate;
}

void addExtension(X509* certificate, int identifier, const char* value)
{
    auto* extension = X509V3_EXT_conf_nid(nullptr, nullptr, identifier, value);
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
}

void writeCertificate(const std::string& file, X509* certificate)
{
    auto* stream = std::fopen(file.c_str(), "w");
    PEM_write_X509(stream, certificate);
    std::fclose(stream);
}

} // namespace

TestAuthority::TestAuthority(std::string folder, std::string name)
    : m_folder(std::move(folder))
    , m_name(std::move(name))
    , m_key(EVP_EC_gen("P-256"))
    , m_certificate(createCertificate(m_name, m_key, 0, secondsPerDay))
{
    addExtension(m_certificate, NID_basic_constraints, "critical,CA:TRUE");
    X509_set_issuer_name(m_certificate, X509_get_subject_name(m_certificate));
    X509_sign(m_certificate, m_key, EVP_sha256());
    writeCertificate(file(m_name + "-ca.pem"), m_certificate);
}

TestAuthority::~TestAuthority()
{
    X509_free(m_certificate);
    EVP_PKEY_free(m_key);
}

void TestAuthority::issue(const std::string& commonName, int days)
{
    auto* key = EVP_EC_gen("P-256");
    auto* certificate = createCertificate(commonName, key, -2 * secondsPerDay, days * secondsPerDay);
    addExtension(certificate, NID_subject_alt_name, "IP:127.0.0.1");
    X509_set_issuer_name(certificate, X509_get_subject_name(m_certificate));
    X509_sign(certificate, m_key, EVP_sha256());
    writeCertificate(file(commonName + ".pem"), certificate);
    auto* stream = std::fopen(file(commonName + ".key").c_str(), "w");
    PEM_write_PrivateKey(stream, key, nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(stream);
    X509_free(certificate);
    EVP_PKEY_free(key);
}

} // namespace clementinesill::net

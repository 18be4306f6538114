#include "net/internal/certificatecheck.h"

#include "foundation/error.h"
#include "settings.pb.h"

#include <fstream>
#include <iterator>
#include <memory>
#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/x509_vfy.h>

namespace clementinesill::net {

namespace {

template <auto Free>
struct OpenSslDeleter {
    template <typename Object>
    void operator()(Object* object) const { Free(object); }
};

using BioPointer = std::unique_ptr<BIO, OpenSslDeleter<BIO_free>>;
using CertificatePointer = std::unique_ptr<X509, OpenSslDeleter<X509_free>>;
using KeyPointer = std::unique_ptr<EVP_PKEY, OpenSslDeleter<EVP_PKEY_free>>;
using StorePointer = std::unique_ptr<X509_STORE, OpenSslDeleter<X509_STORE_free>>;
using StoreContextPointer = std::unique_ptr<X509_STORE_CTX, OpenSslDeleter<X509_STORE_CTX_free>>;

[[noreturn]] void throwFileError(const std::string& file, const std::string& problem, const std::string& remedy)
{
    ERR_clear_error();
    throw Error(ErrorKind::InvalidSettings, "TLS file '" + file + "' " + problem, remedy);
}

std::string readText(const std::string& file)
{
    std::ifstream stream(file, std::ios::binary);
    std::string text { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
    if (!stream)
        throwFileError(file, "cannot be read", "create it or correct its path and permissions");
    return text;
}

BioPointer open(const std::string& text)
{
    return BioPointer(BIO_new_mem_buf(text.data(), static_cast<int>(text.size())));
}

CertificatePointer parseCertificate(const std::string& file, const std::string& text)
{
    CertificatePointer certificate(PEM_read_bio_X509(open(text).get(), nullptr, nullptr, nullptr));
    if (!certificate)
        throwFileError(file, "contains no certificate", "provide a certificate in PEM format");
    return certificate;
}

// Without this callback, OpenSSL would prompt for the passphrase of an encrypted key on the terminal.
int rejectPassphrase(char*, int, int, void*)
{
    return 0;
}

KeyPointer parseKey(const std::string& file, const std::string& text)
{
    KeyPointer key(PEM_read_bio_PrivateKey(open(text).get(), nullptr, rejectPassphrase, nullptr));
    if (!key)
        throwFileError(file, "contains no readable private key", "provide an unencrypted private key in PEM format");
    return key;
}

void verifyCertificate(const schema::TlsSettings& settings, X509* certificate, X509* authority)
{
    const StorePointer store(X509_STORE_new());
    X509_STORE_add_cert(store.get(), authority);
    X509_STORE_set_flags(store.get(), X509_V_FLAG_PARTIAL_CHAIN);
    const StoreContextPointer context(X509_STORE_CTX_new());
    X509_STORE_CTX_init(context.get(), store.get(), certificate, nullptr);
    if (X509_verify_cert(context.get()) == 1)
        return;
    const std::string reason = X509_verify_cert_error_string(X509_STORE_CTX_get_error(context.get()));
    throwFileError(settings.certificate_file(), "fails verification against '" + settings.authority_file() + "' (" + reason + ")", "issue a certificate that is signed by the authority and valid now");
}

} // namespace

KeyMaterial readKeyMaterial(const schema::TlsSettings& settings)
{
    KeyMaterial material {
        .certificate = readText(settings.certificate_file()),
        .key = readText(settings.key_file()),
        .authority = readText(settings.authority_file()),
    };
    const auto certificate = parseCertificate(settings.certificate_file(), material.certificate);
    const auto authority = parseCertificate(settings.authority_file(), material.authority);
    const auto key = parseKey(settings.key_file(), material.key);
    if (X509_check_private_key(certificate.get(), key.get()) != 1)
        throwFileError(settings.key_file(), "does not match the certificate '" + settings.certificate_file() + "'", "use the private key of this certificate");
    verifyCertificate(settings, certificate.get(), authority.get());
    return material;
}

} // namespace clementinesill::net

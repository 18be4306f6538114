#pragma once

#include <string>

namespace clementinesill::schema {
class TlsSettings;
}

namespace clementinesill::net {

// Contents of the files in the settings, in PEM format.
struct KeyMaterial {
    std::string certificate;
    std::string key;
    std::string authority;
};

// Reads the files and verifies that the key matches the certificate and that the authority has signed the certificate.
// Throws Error (InvalidSettings) that names the file and the remedy.
KeyMaterial readKeyMaterial(const schema::TlsSettings& settings);

} // namespace clementinesill::net

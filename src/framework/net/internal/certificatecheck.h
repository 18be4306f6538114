#pragma once

#include <string>

namespace clementinesill::schema {
class TlsSettings;
}

namespace clementinesill::net {

// PEM texts of the files in the settings.
struct KeyMaterial {
    std::string certificate;
    std::string key;
    std::string authority;
};

// Reads the files and checks that they belong together.
// Throws Error (InvalidSettings) naming the file and the remedy.
KeyMaterial readKeyMaterial(const schema::TlsSettings& settings);

} // namespace clementinesill::net

#pragma once

#include <span>

namespace clementinesill::schema {
class ConfigFile;
class OperatorFile;
} // namespace clementinesill::schema

namespace clementinesill::control {

// Reads the operators' files.
class IConfigReader {
public:
    virtual ~IConfigReader() = default;

    // Merges the files in the order of their names and checks the whole. Throws Error (InvalidConfiguration) that names
    // file, line and remedy.
    virtual schema::OperatorFile read(std::span<const schema::ConfigFile> files) const = 0;
};

} // namespace clementinesill::control

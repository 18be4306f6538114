#pragma once

#include "operators/types/configfault.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace clementinesill {
class Error;
}

namespace clementinesill::operators {

class SchemaReader;

// A string allowed in files and its schema value.
template <typename Value>
struct NamedValue {
    std::string_view name;
    Value value;
};

// Whether the name consists of lower-case letters, digits and inner hyphens and has 1 to 63 characters.
bool isRecordName(std::string_view name);

// Throws ConfigError (MissingKey or BadName) at the key.
void checkRecordName(const SchemaReader& reader, const std::string& key, const std::string& name);

// Checks the name of a file in the operators' folder: letters, digits, '.', '_' and '-', ending in ".json".
// Throws ConfigError (BadName).
void checkFileName(const std::string& name);

// Fault that corresponds to an error of parseAddress or parseEndpoint.
ConfigFault addressFault(const Error& error);

} // namespace clementinesill::operators

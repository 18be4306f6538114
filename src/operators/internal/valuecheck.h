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

// A word that files may hold and its value in the schema.
template <typename Value>
struct NamedValue {
    std::string_view name;
    Value value;
};

// Lower-case letters, digits and inner hyphens, at most 63.
bool isRecordName(std::string_view name);

// Throws ConfigError (MissingKey or BadName) at the key.
void checkRecordName(const SchemaReader& reader, const std::string& key, const std::string& name);

// Name of a file of the operators' folder: letters, digits, '.', '_' and '-', ending in ".json".
// Throws ConfigError (BadName).
void checkFileName(const std::string& name);

// Fault that an error of parseAddress or parseEndpoint stands for.
ConfigFault addressFault(const Error& error);

} // namespace clementinesill::operators

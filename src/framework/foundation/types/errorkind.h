#pragma once

#include <string_view>

namespace clementinesill {

enum class ErrorKind {
    InvalidSettings,
    InvalidConfiguration,
    InvalidArgument,
    AddressInUse,
    Unsupported,
    Unavailable,
    Conflict,
    NotFound,
    Malformed,
    Storage,
    Network,
    Timeout,
    Refused,
};

// Returns the name of the kind that is used in logs and JSON output.
std::string_view name(ErrorKind kind);

} // namespace clementinesill

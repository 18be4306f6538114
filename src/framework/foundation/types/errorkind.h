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

// Name of the kind as it stands in logs and JSON output.
std::string_view name(ErrorKind kind);

} // namespace clementinesill

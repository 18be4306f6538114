#pragma once

#include <string_view>

namespace clementinesill {

enum class LogLevel {
    Debug,
    Info,
    Warn,
    Error,
};

// Parses "debug", "info", "warn" or "error"; an empty text is Info. Throws Error (InvalidArgument).
LogLevel parseLogLevel(std::string_view text);

} // namespace clementinesill

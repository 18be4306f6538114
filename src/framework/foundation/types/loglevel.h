#pragma once

#include <string_view>

namespace clementinesill {

enum class LogLevel {
    Debug,
    Info,
    Warn,
    Error,
};

// Reads "debug", "info", "warn" or "error"; Info for an empty text. Throws Error (InvalidArgument).
LogLevel parseLogLevel(std::string_view text);

} // namespace clementinesill

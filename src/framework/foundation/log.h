#pragma once

#include "foundation/types/logfield.h"

#include <initializer_list>
#include <string>
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

// Keys of fields that many lines carry.
namespace logkey {
inline constexpr std::string_view flow = "flow";
inline constexpr std::string_view request = "request";
inline constexpr std::string_view service = "service";
inline constexpr std::string_view server = "server";
inline constexpr std::string_view zone = "zone";
inline constexpr std::string_view version = "version";
inline constexpr std::string_view reason = "reason";
inline constexpr std::string_view remedy = "remedy";
} // namespace logkey

// How and where log lines are written.
struct LogOptions {
    LogLevel level = LogLevel::Info;
    // One JSON object a line; text otherwise.
    bool json = true;
    // Standard error if empty.
    std::string file;
    // Standard output instead of standard error.
    bool standardOutput = false;
    // Added to each line as "daemon".
    std::string daemon;
};

// Sets up logging for the process, once, before other threads log. Throws Error (Storage) if the file cannot be opened.
void configureLog(const LogOptions& options);

// Changes the level while the process runs. Thread-safe.
void setLogLevel(LogLevel level);

// Writes one line: an event name in snake_case and its fields. Thread-safe. Lines before configureLog are dropped.
void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace clementinesill

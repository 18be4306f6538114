#pragma once

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

// One field of a log line.
struct LogField {
    std::string_view key;
    std::string value;
};

// How and where log lines are written.
struct LogOptions {
    LogLevel level = LogLevel::Info;
    // One JSON object a line; text otherwise.
    bool json = true;
    // Standard error if empty.
    std::string file;
    // Added to each line as "daemon".
    std::string daemon;
};

// Sets up logging for the process. Throws Error (Storage) if the file cannot be opened.
void configureLog(const LogOptions& options);

// Writes one line: an event name in snake_case and its fields. Thread-safe.
void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace clementinesill

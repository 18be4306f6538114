#pragma once

#include "foundation/log.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace clementinesill {

// Contents of a log line.
struct LogLine {
    // Milliseconds since the Unix epoch.
    std::int64_t timeMs = 0;
    LogLevel level = LogLevel::Info;
    std::string_view daemon;
    std::string_view event;
    std::span<const LogField> fields;
};

std::string_view name(LogLevel level);

// Renders one JSON object without a line feed. Bytes that are not valid UTF-8 are replaced; the key of a field that is
// already in use in the line gets the prefix "field_".
std::string renderJson(const LogLine& line);

// Renders "LEVEL EVENT KEY=VALUE ..."; empty values and values with spaces, quotes, backslashes, equals signs or control
// characters are quoted and escaped.
std::string renderText(const LogLine& line);

} // namespace clementinesill

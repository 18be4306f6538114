#pragma once

#include "foundation/log.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace clementinesill {

// A line of the log before it is written.
struct LogLine {
    // Milliseconds since the Unix epoch.
    std::int64_t timeMs = 0;
    LogLevel level = LogLevel::Info;
    std::string_view daemon;
    std::string_view event;
    std::span<const LogField> fields;
};

std::string_view name(LogLevel level);

// One JSON object without a line feed. Bytes that are not UTF-8 are replaced; a field whose key the line itself uses gets
// the prefix "field_".
std::string renderJson(const LogLine& line);

// "LEVEL EVENT KEY=VALUE ..."; values that hold spaces, quotes or control characters are quoted and escaped.
std::string renderText(const LogLine& line);

} // namespace clementinesill

#pragma once

#include "foundation/types/logcounts.h"
#include "foundation/types/logfield.h"
#include "foundation/types/loglevel.h"
#include "foundation/types/logoptions.h"

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace clementinesill {

// Keys of fields that are common to many lines.
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

// Sets up logging for the process. To be called once, before other threads log. Throws Error (Storage) if the file cannot be
// opened.
void configureLog(const LogOptions& options);

// Changes the level at run time. Thread-safe.
void setLogLevel(LogLevel level);

// Writes one line: an event name in snake_case and its fields. Lines beyond the rate limit of the event are counted and
// reported in one line later. Lines before configureLog are dropped. Thread-safe.
void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

// Returns true if a line of the event may be written now, and counts it against the rate limit of the event. For lines
// whose fields are expensive to compute; must be followed by logAdmitted if it returns true.
bool admitLine(LogLevel level, std::string_view event);

// Writes a line that admitLine has admitted.
void logAdmitted(LogLevel level, std::string_view event, std::span<const LogField> fields);

LogCounts logCounts();

} // namespace clementinesill

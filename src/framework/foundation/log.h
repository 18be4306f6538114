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

// Sets up logging for the process, once, before other threads log. Throws Error (Storage) if the file cannot be opened.
void configureLog(const LogOptions& options);

// Changes the level while the process runs. Thread-safe.
void setLogLevel(LogLevel level);

// Writes one line: an event name in snake_case and its fields. Lines of one event beyond the budget of a second are counted
// and summed up in one line. Thread-safe. Lines before configureLog are dropped.
void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

// Whether a line of the event would be written now; counts it against the budget. For lines whose fields are costly to
// make: to be followed by logAdmitted.
bool admitLine(LogLevel level, std::string_view event);

// Writes a line that admitLine has let pass.
void logAdmitted(LogLevel level, std::string_view event, std::span<const LogField> fields);

LogCounts logCounts();

} // namespace clementinesill

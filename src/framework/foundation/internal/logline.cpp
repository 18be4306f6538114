#include "foundation/internal/logline.h"

#include "foundation/error.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace clementinesill {

namespace {

constexpr std::array<std::pair<LogLevel, std::string_view>, 4> levels { {
    { LogLevel::Debug, "debug" },
    { LogLevel::Info, "info" },
    { LogLevel::Warn, "warn" },
    { LogLevel::Error, "error" },
} };

std::string dump(const nlohmann::ordered_json& json)
{
    return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

bool needsQuotes(std::string_view text)
{
    const auto special = [](char character) { return static_cast<unsigned char>(character) <= ' ' || character == '"' || character == '\\' || character == '=' || character == '\x7f'; };
    return text.empty() || std::ranges::any_of(text, special);
}

} // namespace

std::string_view name(LogLevel level)
{
    return std::ranges::find(levels, level, &std::pair<LogLevel, std::string_view>::first)->second;
}

LogLevel parseLogLevel(std::string_view text)
{
    if (text.empty())
        return LogLevel::Info;
    const auto found = std::ranges::find(levels, text, &std::pair<LogLevel, std::string_view>::second);
    if (found == levels.end())
        throw Error(ErrorKind::InvalidArgument, "'" + std::string(text) + "' is not a log level", "write debug, info, warn or error");
    return found->first;
}

std::string renderJson(const LogLine& line)
{
    nlohmann::ordered_json json;
    json["time_ms"] = line.timeMs;
    json["level"] = name(line.level);
    json["daemon"] = line.daemon;
    json["event"] = line.event;
    for (const auto& field : line.fields) {
        const std::string key(field.key);
        json[json.contains(key) ? "field_" + key : key] = field.value;
    }
    return dump(json);
}

std::string renderText(const LogLine& line)
{
    std::string text(name(line.level));
    text.append(" ").append(line.event);
    for (const auto& field : line.fields)
        text.append(" ").append(field.key).append("=").append(needsQuotes(field.value) ? dump(field.value) : field.value);
    return text;
}

} // namespace clementinesill

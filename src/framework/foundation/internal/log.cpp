#include "foundation/log.h"

#include "foundation/error.h"

#include <fstream>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>

namespace clementinesill {

namespace {

// Written by configureLog before other threads start, read by log.
struct LogState {
    log4cplus::Initializer initializer;
    bool json = true;
    std::string daemon;
};

LogState& state()
{
    static LogState instance;
    return instance;
}

log4cplus::LogLevel libraryLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warn:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warn:
        return "warn";
    case LogLevel::Error:
        return "error";
    }
    return "info";
}

std::string renderJson(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    nlohmann::ordered_json line;
    line["time_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    line["level"] = levelName(level);
    line["daemon"] = state().daemon;
    line["event"] = event;
    for (const auto& field : fields)
        line[std::string(field.key)] = field.value;
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::string renderText(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line(levelName(level));
    line.append(" ").append(event);
    for (const auto& field : fields)
        line.append(" ").append(field.key).append("=").append(field.value);
    return line;
}

} // namespace

void configureLog(const LogOptions& options)
{
    state().json = options.json;
    state().daemon = options.daemon;
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.setLogLevel(libraryLevel(options.level));
    log4cplus::SharedAppenderPtr appender;
    if (options.file.empty()) {
        appender = log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(true, true));
    } else {
        if (!std::ofstream(options.file, std::ios::app))
            throw Error(ErrorKind::Storage, "cannot write the log file '" + options.file + "'", "create its folder or change log.file");
        appender = log4cplus::SharedAppenderPtr(new log4cplus::FileAppender(options.file, std::ios_base::app));
    }
    const std::string pattern = options.json ? "%m%n" : "%D{%H:%M:%S.%q} %m%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    root.addAppender(appender);
}

void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    const bool json = state().json;
    auto root = log4cplus::Logger::getRoot();
    if (!root.isEnabledFor(libraryLevel(level)))
        return;
    root.log(libraryLevel(level), json ? renderJson(level, event, fields) : renderText(level, event, fields));
}

} // namespace clementinesill

#include "foundation/log.h"

#include "foundation/error.h"
#include "foundation/internal/logline.h"

#include <atomic>
#include <chrono>
#include <fstream>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace clementinesill {

namespace {

// Written by configureLog before other threads start, read by log.
struct LogState {
    log4cplus::Initializer initializer;
    std::atomic<bool> configured { false };
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
        appender = log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(!options.standardOutput, true));
    } else {
        if (!std::ofstream(options.file, std::ios::app))
            throw Error(ErrorKind::Storage, "cannot write the log file '" + options.file + "'", "create its folder or change log.file");
        appender = log4cplus::SharedAppenderPtr(new log4cplus::FileAppender(options.file, std::ios_base::app));
    }
    // JSON lines carry their own time.
    const std::string pattern = options.json ? "%m%n" : "%D{%H:%M:%S.%q} %m%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    root.addAppender(appender);
    state().configured = true;
}

void setLogLevel(LogLevel level)
{
    log4cplus::Logger::getRoot().setLogLevel(libraryLevel(level));
}

void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (!state().configured)
        return;
    auto root = log4cplus::Logger::getRoot();
    if (!root.isEnabledFor(libraryLevel(level)))
        return;
    const auto time = std::chrono::system_clock::now().time_since_epoch();
    const LogLine line {
        .timeMs = std::chrono::duration_cast<std::chrono::milliseconds>(time).count(),
        .level = level,
        .daemon = state().daemon,
        .event = event,
        .fields = { fields.begin(), fields.size() },
    };
    root.log(libraryLevel(level), state().json ? renderJson(line) : renderText(line));
}

} // namespace clementinesill

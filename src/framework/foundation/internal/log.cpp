#include "foundation/log.h"

#include "foundation/error.h"
#include "foundation/internal/logline.h"
#include "foundation/internal/pipeappender.h"
#include "foundation/logratelimiter.h"
#include "foundation/systemclock.h"

#include <array>
#include <atomic>
#include <chrono>
#include <fstream>
#include <limits>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <mutex>
#include <unistd.h>
#include <utility>

namespace clementinesill {

namespace {

// The configuration is set by configureLog before other threads log.
struct LogState {
    log4cplus::Initializer initializer;
    std::atomic<bool> configured { false };
    bool json = true;
    std::string daemon;
    // Null before configureLog and if lines are written to a file.
    log4cplus::helpers::SharedObjectPtr<PipeAppender> pipe;
    SystemClock clock;
    std::atomic<std::uint64_t> written { 0 };
    std::atomic<std::uint64_t> suppressed { 0 };
    std::mutex mutex;
    // Guarded by the mutex.
    LogRateLimiter rateLimiter { 0 };
    std::uint64_t lostReported = 0;
};

LogState& state()
{
    static LogState instance;
    return instance;
}

log4cplus::Logger rootLogger() { return log4cplus::Logger::getRoot(); }

log4cplus::LogLevel toLog4cplusLevel(LogLevel level)
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

void write(LogLevel level, std::string_view event, std::span<const LogField> fields)
{
    const auto time = std::chrono::system_clock::now().time_since_epoch();
    const LogLine line {
        .timeMs = std::chrono::duration_cast<std::chrono::milliseconds>(time).count(),
        .level = level,
        .daemon = state().daemon,
        .event = event,
        .fields = fields,
    };
    ++state().written;
    rootLogger().log(toLog4cplusLevel(level), state().json ? renderJson(line) : renderText(line));
}

// Logs the numbers of lines that were suppressed or lost since the last report.
void reportDroppedLines(std::span<const LogRateLimiter::SuppressedLines> suppressed)
{
    for (const auto& [event, lines] : suppressed) {
        const std::array<LogField, 2> fields { { { .key = "suppressed_event", .value = event }, { .key = "lines", .value = std::to_string(lines) } } };
        write(LogLevel::Warn, "log_lines_suppressed", fields);
    }
    if (!state().pipe)
        return;
    const auto lost = state().pipe->lost();
    {
        const std::lock_guard lock(state().mutex);
        if (lost == std::exchange(state().lostReported, lost))
            return;
    }
    const std::array<LogField, 2> fields { { { .key = "lines_since_start", .value = std::to_string(lost) }, { .key = logkey::reason, .value = "the reader of the log stream was too slow" } } };
    write(LogLevel::Warn, "log_lines_lost", fields);
}

} // namespace

void configureLog(const LogOptions& options)
{
    state().json = options.json;
    state().daemon = options.daemon;
    state().pipe = nullptr;
    {
        const std::lock_guard lock(state().mutex);
        state().lostReported = 0;
        state().rateLimiter = LogRateLimiter(options.linesPerSecond ? options.linesPerSecond : std::numeric_limits<std::uint32_t>::max());
    }
    auto root = rootLogger();
    root.removeAllAppenders();
    root.setLogLevel(toLog4cplusLevel(options.level));
    log4cplus::SharedAppenderPtr appender;
    if (options.file.empty()) {
        state().pipe = new PipeAppender(options.standardOutput ? STDOUT_FILENO : STDERR_FILENO);
        appender = log4cplus::SharedAppenderPtr(state().pipe.get());
    } else {
        if (!std::ofstream(options.file, std::ios::app))
            throw Error(ErrorKind::Storage, "cannot write the log file '" + options.file + "'", "create its folder or change log.file");
        appender = log4cplus::SharedAppenderPtr(new log4cplus::FileAppender(options.file, std::ios_base::app));
    }
    // JSON lines contain the time as a field.
    const std::string pattern = options.json ? "%m%n" : "%D{%H:%M:%S.%q} %m%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    root.addAppender(appender);
    state().configured = true;
}

void setLogLevel(LogLevel level)
{
    rootLogger().setLogLevel(toLog4cplusLevel(level));
}

bool admitLine(LogLevel level, std::string_view event)
{
    if (!state().configured || !rootLogger().isEnabledFor(toLog4cplusLevel(level)))
        return false;
    bool admitted = false;
    std::vector<LogRateLimiter::SuppressedLines> suppressed;
    {
        const std::lock_guard lock(state().mutex);
        const auto now = state().clock.now();
        suppressed = state().rateLimiter.takeSuppressed(now);
        admitted = state().rateLimiter.admit(event, now);
    }
    reportDroppedLines(suppressed);
    state().suppressed += !admitted;
    return admitted;
}

void logAdmitted(LogLevel level, std::string_view event, std::span<const LogField> fields)
{
    write(level, event, fields);
}

void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (admitLine(level, event))
        write(level, event, { fields.begin(), fields.size() });
}

LogCounts logCounts()
{
    return { .written = state().written, .suppressed = state().suppressed, .lost = state().pipe ? state().pipe->lost() : 0 };
}

} // namespace clementinesill

#pragma once

#include "foundation/iclock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace clementinesill {

// Limits the number of log lines per second for each event and counts the suppressed ones, for example when a failure
// makes every packet log a line. Not thread-safe.
class LogRateLimiter {
public:
    // Number of lines of one event that were suppressed.
    struct SuppressedLines {
        std::string event;
        std::uint64_t lines = 0;
    };

    explicit LogRateLimiter(std::uint32_t linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    {
    }

    // Returns true if a line of the event may be written now; otherwise counts it as suppressed.
    bool admit(std::string_view event, MonotonicTime now);

    // Returns the lines suppressed in windows of one second that have ended. Each suppressed line is reported once.
    std::vector<SuppressedLines> takeSuppressed(MonotonicTime now);

private:
    struct Window {
        MonotonicTime start;
        std::uint32_t lines = 0;
        std::uint64_t suppressed = 0;
    };

    std::uint32_t m_linesPerSecond;
    std::map<std::string, Window, std::less<>> m_windows;
    // Number of events with suppressed lines that are not reported yet.
    std::size_t m_unreportedEvents = 0;
};

} // namespace clementinesill

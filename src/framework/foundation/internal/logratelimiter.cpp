#include "foundation/logratelimiter.h"

#include <utility>

namespace clementinesill {

namespace {

constexpr auto windowLength = std::chrono::seconds(1);

} // namespace

bool LogRateLimiter::admit(std::string_view event, MonotonicTime now)
{
    auto found = m_windows.find(event);
    if (found == m_windows.end())
        found = m_windows.emplace(event, Window { .start = now }).first;
    auto& current = found->second;
    // The count of suppressed lines is kept until it is reported.
    if (now - current.start >= windowLength) {
        current.start = now;
        current.lines = 0;
    }
    if (current.lines < m_linesPerSecond) {
        ++current.lines;
        return true;
    }
    m_unreportedEvents += current.suppressed++ == 0;
    return false;
}

std::vector<LogRateLimiter::SuppressedLines> LogRateLimiter::takeSuppressed(MonotonicTime now)
{
    std::vector<SuppressedLines> reported;
    if (!m_unreportedEvents)
        return reported;
    for (auto& [event, current] : m_windows) {
        if (!current.suppressed || now - current.start < windowLength)
            continue;
        reported.push_back({ .event = event, .lines = std::exchange(current.suppressed, 0) });
        --m_unreportedEvents;
    }
    return reported;
}

} // namespace clementinesill

#pragma once

#include "foundation/iclock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace clementinesill {

// Keeps the lines of each event within a number a second and counts the rest. Load pattern: a failure that turns every
// packet into a line. Not thread-safe.
class LogBudget {
public:
    // Lines of one event that were left out in a second that is over.
    struct Surplus {
        std::string event;
        std::uint64_t lines = 0;
    };

    explicit LogBudget(std::uint32_t linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    {
    }

    // Whether a line of the event may be written now; counts it if not.
    bool admit(std::string_view event, MonotonicTime now);

    // What was left out in seconds that are over, each told once.
    std::vector<Surplus> takeSurplus(MonotonicTime now);

private:
    struct Second {
        MonotonicTime start;
        std::uint32_t lines = 0;
        std::uint64_t surplus = 0;
    };

    std::uint32_t m_linesPerSecond;
    std::map<std::string, Second, std::less<>> m_seconds;
    // Events with a surplus that was not told yet.
    std::size_t m_untold = 0;
};

} // namespace clementinesill

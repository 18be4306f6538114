#include "foundation/logbudget.h"

#include <utility>

namespace clementinesill {

namespace {

constexpr auto second = std::chrono::seconds(1);

} // namespace

bool LogBudget::admit(std::string_view event, MonotonicTime now)
{
    auto found = m_seconds.find(event);
    if (found == m_seconds.end())
        found = m_seconds.emplace(event, Second { .start = now }).first;
    auto& current = found->second;
    // A surplus that was not told yet stays until it is.
    if (now - current.start >= second) {
        current.start = now;
        current.lines = 0;
    }
    if (current.lines < m_linesPerSecond) {
        ++current.lines;
        return true;
    }
    m_untold += current.surplus++ == 0;
    return false;
}

std::vector<LogBudget::Surplus> LogBudget::takeSurplus(MonotonicTime now)
{
    std::vector<Surplus> told;
    if (!m_untold)
        return told;
    for (auto& [event, current] : m_seconds) {
        if (!current.surplus || now - current.start < second)
            continue;
        told.push_back({ .event = event, .lines = std::exchange(current.surplus, 0) });
        --m_untold;
    }
    return told;
}

} // namespace clementinesill

#include "passthrough/searchbudget.h"

#include <algorithm>
#include <chrono>

namespace clementinesill::passthrough {

bool SearchBudget::take(std::size_t servers)
{
    const auto now = m_clock.now();
    m_hops = std::min(maximumHops, m_hops + hopsPerSecond * std::chrono::duration<double>(now - m_updated).count());
    m_updated = now;
    if (m_hops <= 0)
        return false;
    m_hops -= static_cast<double>(servers);
    return true;
}

} // namespace clementinesill::passthrough

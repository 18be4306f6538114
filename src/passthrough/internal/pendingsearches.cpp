#include "passthrough/pendingsearches.h"

namespace clementinesill::passthrough {

PendingSearches::PendingSearches(std::size_t capacity)
    : m_slots(capacity)
{
}

std::uint32_t PendingSearches::store(const Search& search)
{
    if (++m_lastMark == 0)
        ++m_lastMark;
    m_slots[m_lastMark % m_slots.size()] = { .mark = m_lastMark, .search = search };
    return m_lastMark;
}

const Search* PendingSearches::find(std::uint32_t mark) const
{
    const auto& slot = m_slots[mark % m_slots.size()];
    return mark && slot.mark == mark ? &slot.search : nullptr;
}

} // namespace clementinesill::passthrough

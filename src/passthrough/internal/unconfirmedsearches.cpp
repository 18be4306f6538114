#include "passthrough/unconfirmedsearches.h"

namespace clementinesill::passthrough {

namespace {

// After this time, the caller's retransmission has started a new search.
constexpr auto maximumAge = std::chrono::milliseconds(1500);

} // namespace

void UnconfirmedSearches::add(const FlowPacket& packet, const Search& search)
{
    if (m_searches.size() >= m_capacity)
        m_searches.pop_front();
    m_searches.push_back({ .packet = packet, .search = search, .addedAt = m_clock.now() });
}

std::vector<UnconfirmedSearch> UnconfirmedSearches::takeAll()
{
    std::vector<UnconfirmedSearch> fresh;
    for (auto& unconfirmed : m_searches) {
        if (m_clock.now() - unconfirmed.addedAt < maximumAge)
            fresh.push_back(std::move(unconfirmed));
    }
    m_searches.clear();
    return fresh;
}

} // namespace clementinesill::passthrough

#include "passthrough/endedsearches.h"

namespace clementinesill::passthrough {

namespace {

// By then the caller has sent its packet again, and a new search has been made.
constexpr auto longestWait = std::chrono::milliseconds(1500);

} // namespace

void EndedSearches::add(const FlowPacket& packet, const Search& search)
{
    if (m_waiting.size() >= m_capacity)
        m_waiting.pop_front();
    m_waiting.push_back({ .packet = packet, .search = search, .since = m_clock.now() });
}

std::vector<EndedSearch> EndedSearches::take()
{
    std::vector<EndedSearch> taken;
    for (auto& ended : m_waiting) {
        if (m_clock.now() - ended.since < longestWait)
            taken.push_back(std::move(ended));
    }
    m_waiting.clear();
    return taken;
}

} // namespace clementinesill::passthrough

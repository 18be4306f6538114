#pragma once

#include "foundation/iclock.h"
#include "passthrough/types/endedsearch.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace clementinesill::passthrough {

// Searches that have ended without a holder and wait for the leader's word that every server was asked. Load pattern: all
// servers restart, and every open flow's next packet finds nobody; its caller should not wait for its own retransmission.
class EndedSearches {
public:
    EndedSearches(const IClock& clock, std::size_t capacity)
        : m_clock(clock)
        , m_capacity(capacity)
    {
    }

    // The oldest is dropped beyond the capacity: its caller asks again by itself.
    void add(const FlowPacket& packet, const Search& search);

    // Puts one back that was taken too early.
    void keep(const EndedSearch& ended) { m_waiting.push_back(ended); }

    bool empty() const { return m_waiting.empty(); }

    // All that wait and are not too old.
    std::vector<EndedSearch> take();

private:
    const IClock& m_clock;
    std::size_t m_capacity;
    std::deque<EndedSearch> m_waiting;
};

} // namespace clementinesill::passthrough

#pragma once

#include "foundation/iclock.h"
#include "passthrough/types/unconfirmedsearch.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace clementinesill::passthrough {

// Searches that found no holder and wait until the leader confirms that the table, and so the search, was complete. When all
// servers restart, the next packet of each open flow finds no holder. The callers then get a reset as soon as the table is
// confirmed, without waiting for their own retransmissions.
class UnconfirmedSearches {
public:
    UnconfirmedSearches(const IClock& clock, std::size_t capacity)
        : m_clock(clock)
        , m_capacity(capacity)
    {
    }

    // Beyond the capacity, the oldest search is dropped; its caller's retransmission starts a new one.
    void add(const FlowPacket& packet, const Search& search);

    // Adds a taken search again with its original time, because the table is still unconfirmed.
    void requeue(const UnconfirmedSearch& unconfirmed) { m_searches.push_back(unconfirmed); }

    bool empty() const { return m_searches.empty(); }

    // Removes all searches and returns those that are not too old.
    std::vector<UnconfirmedSearch> takeAll();

private:
    const IClock& m_clock;
    std::size_t m_capacity;
    std::deque<UnconfirmedSearch> m_searches;
};

} // namespace clementinesill::passthrough

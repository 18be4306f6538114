#pragma once

#include "passthrough/types/search.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace clementinesill::passthrough {

// Searches whose packets were delivered to the server and may be bounced, keyed by the mark in the packet. Bounded: the
// oldest entry is overwritten.
class PendingSearches {
public:
    explicit PendingSearches(std::size_t capacity);

    // Returns the mark, which is never 0.
    std::uint32_t store(const Search& search);

    // Returns null if the mark is unknown or its search was overwritten.
    const Search* find(std::uint32_t mark) const;

private:
    struct Slot {
        std::uint32_t mark = 0;
        Search search;
    };

    std::vector<Slot> m_slots;
    std::uint32_t m_lastMark = 0;
};

} // namespace clementinesill::passthrough

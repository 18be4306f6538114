#pragma once

#include "passthrough/types/search.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace clementinesill::passthrough {

// Searches whose packets were given to the server and may come back, by the mark that the packets carry. Bounded: the
// oldest is overwritten.
class PendingSearches {
public:
    explicit PendingSearches(std::size_t capacity);

    // Returns the mark, which is never 0.
    std::uint32_t store(const Search& search);

    // Null if the mark was not given, or is too old.
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

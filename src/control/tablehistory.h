#pragma once

#include "control/types/tablechange.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>

namespace clementinesill::control {

// Which records the newest versions of the table have changed.
class TableHistory {
public:
    explicit TableHistory(std::size_t limit)
        : m_limit(limit)
    {
    }

    // Notes the change that made the version; versions follow each other.
    void push(std::uint64_t version, TableChange change);

    // All that has changed since the version; empty optional if the history does not reach back to it.
    std::optional<TableChange> since(std::uint64_t version) const;

    // Starts again after the version.
    void reset(std::uint64_t version);

private:
    std::size_t m_limit;
    // Version before the oldest change held.
    std::uint64_t m_base = 0;
    std::deque<TableChange> m_changes;
};

} // namespace clementinesill::control

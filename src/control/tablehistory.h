#pragma once

#include "control/types/tablechange.h"
#include "control/types/tablehistoryoptions.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>

namespace clementinesill::control {

// Changes of the most recent table versions, within limits of their number and their memory.
class TableHistory {
public:
    explicit TableHistory(const TableHistoryOptions& options = {})
        : m_options(options)
    {
    }

    // Approximate memory of the changes, in bytes.
    std::size_t bytes() const { return m_bytes; }

    // Adds the change that created the version. A version that does not follow the previous one clears the history first.
    void push(std::uint64_t version, TableChange change);

    // Returns all changes after the version; nullopt if the history does not contain all of them.
    std::optional<TableChange> since(std::uint64_t version) const;

    // Clears the history; the next change to add is that of version + 1.
    void reset(std::uint64_t version);

private:
    void discardOldest();

    TableHistoryOptions m_options;
    std::size_t m_bytes = 0;
    // Version before the oldest change in the history.
    std::uint64_t m_baseVersion = 0;
    std::deque<TableChange> m_changes;
};

} // namespace clementinesill::control

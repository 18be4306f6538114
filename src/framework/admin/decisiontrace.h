#pragma once

#include "admin.pb.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <string_view>

namespace clementinesill::admin {

// The most recent decisions of a role, kept for `explain`. Thread-safe.
class DecisionTrace {
public:
    // capacity: maximum number of records; beyond it, the oldest record is discarded.
    explicit DecisionTrace(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    void record(schema::DecisionRecord record);

    // Returns the records whose flow or request equals the subject, oldest first.
    schema::DecisionList find(std::string_view subject) const;

private:
    const std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::deque<schema::DecisionRecord> m_records;
};

} // namespace clementinesill::admin

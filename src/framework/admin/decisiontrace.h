#pragma once

#include "admin.pb.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <string_view>

namespace clementinesill::admin {

// The last decisions of a role, kept for `explain`. Bounded; thread-safe.
class DecisionTrace {
public:
    // capacity in records; the oldest is dropped beyond it.
    explicit DecisionTrace(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    void note(schema::DecisionRecord record);

    // Records whose flow or request is the subject, oldest first.
    schema::DecisionList find(std::string_view subject) const;

private:
    const std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::deque<schema::DecisionRecord> m_records;
};

} // namespace clementinesill::admin

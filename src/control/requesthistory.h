#pragma once

#include "log.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace clementinesill::control {

// Responses to the most recent requests, so that a retried request gets the response of its first attempt and is applied
// only once.
class RequestHistory {
public:
    explicit RequestHistory(std::size_t limit)
        : m_limit(limit)
    {
    }

    // Null if the history does not contain the id.
    const schema::RequestRecord* find(const std::string& requestId) const;

    // Adds the record and evicts the oldest one if the limit is exceeded.
    void add(schema::RequestRecord record);

    const std::deque<schema::RequestRecord>& records() const { return m_records; }
    void clear();

private:
    std::size_t m_limit;
    // Sequence number of the oldest record. Sequence numbers count from the first record after the last clear().
    std::uint64_t m_firstSequence = 0;
    std::deque<schema::RequestRecord> m_records;
    std::unordered_map<std::string, std::uint64_t> m_sequenceById;
};

} // namespace clementinesill::control

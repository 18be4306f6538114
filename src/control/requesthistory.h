#pragma once

#include "log.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace clementinesill::control {

// First answers of the newest requests, so that a request sent again gets the same answer and has one effect.
class RequestHistory {
public:
    explicit RequestHistory(std::size_t limit)
        : m_limit(limit)
    {
    }

    // Null if the id is not remembered.
    const schema::RequestRecord* find(const std::string& requestId) const;

    // Forgets the oldest request beyond the limit.
    void remember(schema::RequestRecord record);

    const std::deque<schema::RequestRecord>& records() const { return m_records; }
    void clear();

private:
    std::size_t m_limit;
    // Number of the oldest record; positions in m_numbers count from the first ever.
    std::uint64_t m_firstNumber = 0;
    std::deque<schema::RequestRecord> m_records;
    std::unordered_map<std::string, std::uint64_t> m_numbers;
};

} // namespace clementinesill::control

#include "control/requesthistory.h"

namespace clementinesill::control {

const schema::RequestRecord* RequestHistory::find(const std::string& requestId) const
{
    const auto found = m_numbers.find(requestId);
    return found == m_numbers.end() ? nullptr : &m_records[found->second - m_firstNumber];
}

void RequestHistory::remember(schema::RequestRecord record)
{
    m_numbers[record.request_id()] = m_firstNumber + m_records.size();
    m_records.push_back(std::move(record));
    if (m_records.size() <= m_limit)
        return;
    m_numbers.erase(m_records.front().request_id());
    m_records.pop_front();
    ++m_firstNumber;
}

void RequestHistory::clear()
{
    m_records.clear();
    m_numbers.clear();
    m_firstNumber = 0;
}

} // namespace clementinesill::control

#include "control/requesthistory.h"

namespace clementinesill::control {

const schema::RequestRecord* RequestHistory::find(const std::string& requestId) const
{
    const auto found = m_sequenceById.find(requestId);
    return found == m_sequenceById.end() ? nullptr : &m_records[found->second - m_firstSequence];
}

void RequestHistory::add(schema::RequestRecord record)
{
    m_sequenceById[record.request_id()] = m_firstSequence + m_records.size();
    m_records.push_back(std::move(record));
    if (m_records.size() <= m_limit)
        return;
    m_sequenceById.erase(m_records.front().request_id());
    m_records.pop_front();
    ++m_firstSequence;
}

void RequestHistory::clear()
{
    m_records.clear();
    m_sequenceById.clear();
    m_firstSequence = 0;
}

} // namespace clementinesill::control

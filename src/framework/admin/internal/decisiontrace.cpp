#include "admin/decisiontrace.h"

namespace clementinesill::admin {

void DecisionTrace::record(schema::DecisionRecord record)
{
    const std::lock_guard lock(m_mutex);
    if (m_records.size() >= m_capacity)
        m_records.pop_front();
    m_records.push_back(std::move(record));
}

schema::DecisionList DecisionTrace::find(std::string_view subject) const
{
    schema::DecisionList found;
    const std::lock_guard lock(m_mutex);
    for (const auto& record : m_records) {
        if (record.flow() == subject || record.request() == subject)
            *found.add_decisions() = record;
    }
    return found;
}

} // namespace clementinesill::admin

#include "control/tablehistory.h"

namespace clementinesill::control {

void TableChange::merge(const TableChange& other)
{
    services.insert(other.services.begin(), other.services.end());
    zones.insert(other.zones.begin(), other.zones.end());
    servers.insert(other.servers.begin(), other.servers.end());
    routes.insert(other.routes.begin(), other.routes.end());
    document = document || other.document;
}

void TableHistory::push(std::uint64_t version, TableChange change)
{
    if (version != m_baseVersion + m_changes.size() + 1)
        reset(version - 1);
    m_changes.push_back(std::move(change));
    if (m_changes.size() <= m_limit)
        return;
    m_changes.pop_front();
    ++m_baseVersion;
}

std::optional<TableChange> TableHistory::since(std::uint64_t version) const
{
    if (version < m_baseVersion || version > m_baseVersion + m_changes.size())
        return std::nullopt;
    TableChange combined;
    for (auto index = version - m_baseVersion; index < m_changes.size(); ++index)
        combined.merge(m_changes[index]);
    return combined;
}

void TableHistory::reset(std::uint64_t version)
{
    m_baseVersion = version;
    m_changes.clear();
}

} // namespace clementinesill::control

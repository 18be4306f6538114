#include "control/tablehistory.h"

#include <numeric>

namespace clementinesill::control {

namespace {

// Memory of a node of a std::set apart from its value.
constexpr std::size_t nodeBytes = 48;

std::size_t bytesOf(const std::set<std::string>& names)
{
    return std::accumulate(names.begin(), names.end(), std::size_t { 0 }, [](auto sum, const auto& name) { return sum + nodeBytes + sizeof(name) + name.capacity(); });
}

} // namespace

std::size_t TableChange::bytes() const
{
    return sizeof(TableChange) + (services.size() + servers.size()) * nodeBytes + bytesOf(zones) + bytesOf(routes);
}

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
    m_bytes += change.bytes();
    m_changes.push_back(std::move(change));
    while (m_changes.size() > m_options.maxVersions || m_bytes > m_options.maxBytes)
        discardOldest();
}

void TableHistory::discardOldest()
{
    m_bytes -= m_changes.front().bytes();
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
    m_bytes = 0;
}

} // namespace clementinesill::control

#include "fleet/tableholder.h"

#include "fleet/fleettable.h"

namespace clementinesill::fleet {

TableHolder::TableHolder()
    : m_table(std::make_shared<const FleetTable>())
{
}

TableHolder::~TableHolder() = default;

bool TableHolder::offer(const std::shared_ptr<const FleetTable>& table)
{
    noteNewerVersion(table->version());
    auto held = m_table.load();
    while (table->version() > held->version()) {
        if (m_table.compare_exchange_weak(held, table))
            return true;
    }
    return false;
}

std::shared_ptr<const FleetTable> TableHolder::table() const
{
    return m_table.load();
}

void TableHolder::confirm(std::uint64_t version, MonotonicTime at)
{
    if (version != m_table.load()->version())
        return;
    auto confirmed = m_confirmedAt.load();
    while (at > confirmed && !m_confirmedAt.compare_exchange_weak(confirmed, at)) { }
}

void TableHolder::noteNewerVersion(std::uint64_t version)
{
    auto seen = m_highestSeen.load();
    while (version > seen && !m_highestSeen.compare_exchange_weak(seen, version)) { }
}

} // namespace clementinesill::fleet

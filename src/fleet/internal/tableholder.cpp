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

namespace {

// Times never go back.
void raise(std::atomic<MonotonicTime>& held, MonotonicTime at)
{
    auto before = held.load();
    while (at > before && !held.compare_exchange_weak(before, at)) { }
}

} // namespace

void TableHolder::confirm(std::uint64_t version, MonotonicTime at)
{
    if (version == m_table.load()->version())
        raise(m_confirmedAt, at);
}

void TableHolder::confirmByLeader(std::uint64_t version, MonotonicTime asked)
{
    if (version <= m_table.load()->version())
        raise(m_leaderConfirmedAt, asked);
}

void TableHolder::noteNewerVersion(std::uint64_t version)
{
    auto seen = m_highestSeen.load();
    while (version > seen && !m_highestSeen.compare_exchange_weak(seen, version)) { }
}

} // namespace clementinesill::fleet

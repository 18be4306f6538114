#include "fleet/tableholder.h"

#include "fleet/fleettable.h"

namespace clementinesill::fleet {

TableHolder::TableHolder()
    : m_table(std::make_shared<const FleetTable>())
{
}

TableHolder::~TableHolder() = default;

bool TableHolder::replaceIfNewer(const std::shared_ptr<const FleetTable>& table)
{
    recordSeenVersion(table->version());
    auto current = m_table.load();
    while (table->version() > current->version()) {
        if (m_table.compare_exchange_weak(current, table))
            return true;
    }
    return false;
}

std::shared_ptr<const FleetTable> TableHolder::table() const
{
    return m_table.load();
}

namespace {

// Stores the time unless the stored one is later.
void advance(std::atomic<MonotonicTime>& stored, MonotonicTime at)
{
    auto previous = stored.load();
    while (at > previous && !stored.compare_exchange_weak(previous, at)) { }
}

} // namespace

void TableHolder::confirm(std::uint64_t version, MonotonicTime at)
{
    if (version == m_table.load()->version())
        advance(m_confirmedAt, at);
}

void TableHolder::confirmByLeader(std::uint64_t version, MonotonicTime requestedAt)
{
    recordSeenVersion(version);
    if (version <= m_table.load()->version())
        advance(m_leaderConfirmedAt, requestedAt);
}

void TableHolder::recordSeenVersion(std::uint64_t version)
{
    auto highest = m_highestSeen.load();
    while (version > highest && !m_highestSeen.compare_exchange_weak(highest, version)) { }
}

} // namespace clementinesill::fleet

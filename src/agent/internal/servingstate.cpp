#include "agent/servingstate.h"

#include "fleet/fleettable.h"

#include <utility>

namespace clementinesill::agent {

ServingChange ServingState::update(const fleet::FleetTable& table)
{
    if (table.version() <= m_version)
        return {};
    m_version = table.version();
    const auto* self = table.server(m_serverId);
    const bool zoneWasOut = std::exchange(m_zoneOut, table.zoneOut(m_zone));
    const bool wasDraining = std::exchange(m_draining, self ? self->draining : m_draining);
    return {
        .zoneTakenOut = m_zoneOut && !zoneWasOut,
        .zoneReturned = !m_zoneOut && zoneWasOut,
        .drainStarted = m_draining && !wasDraining,
        .drainEnded = !m_draining && wasDraining,
    };
}

} // namespace clementinesill::agent

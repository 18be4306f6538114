#pragma once

#include "agent/types/servingchange.h"

#include <cstdint>
#include <string>

namespace clementinesill::fleet {
class FleetTable;
}

namespace clementinesill::agent {

// Tracks in the fleet table whether this agent's availability zone is out of service and whether its server is draining.
class ServingState {
public:
    ServingState(std::uint32_t serverId, const std::string& zone)
        : m_serverId(serverId)
        , m_zone(zone)
    {
    }

    // Returns the changes since the previous table; ignores a table that is not newer. If the table does not contain the
    // server, the draining state does not change.
    ServingChange update(const fleet::FleetTable& table);

    bool zoneOut() const { return m_zoneOut; }
    bool draining() const { return m_draining; }

private:
    std::uint32_t m_serverId;
    std::string m_zone;
    std::uint64_t m_version = 0;
    bool m_zoneOut = false;
    bool m_draining = false;
};

} // namespace clementinesill::agent

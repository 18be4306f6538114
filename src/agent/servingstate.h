#pragma once

#include "agent/types/servingchange.h"

#include <cstdint>
#include <string>

namespace clementinesill::fleet {
class FleetTable;
}

namespace clementinesill::agent {

// Whether this agent's availability zone is in and its server takes new flows, as the newest table tells.
class ServingState {
public:
    ServingState(std::uint32_t serverId, const std::string& zone)
        : m_serverId(serverId)
        , m_zone(zone)
    {
    }

    // Compares with the table before. A table without the server leaves the drain as it is.
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

#pragma once

#include "agent/types/serverproberesult.h"

namespace clementinesill::agent {

// Derives the backend server's health from probe results. Probes are delayed and may be misleading, so they can only lower
// the server's concurrency limit. Its capacity is determined by admission.
class ServerHealth {
public:
    // Consecutive timeouts after which the server counts as unhealthy. A single one may be due to a short load peak.
    static constexpr int timeoutsUntilUnhealthy = 3;

    HealthChange observe(ServerProbeResult probe);

    // Records that the server refused a flow's or request's connection.
    HealthChange recordConnectionRefused() { return observe(ServerProbeResult::Refused); }

    bool healthy() const { return m_healthy; }

private:
    bool m_healthy = true;
    bool m_connectionRefused = false;
    int m_timeouts = 0;
};

} // namespace clementinesill::agent

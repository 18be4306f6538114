#pragma once

#include "agent/types/serverprobe.h"

namespace clementinesill::agent {

// Judges the backend server by its probes. They lag and mislead, so they only ever lower what the server is given; what it
// bears is found out by admission.
class ServerHealth {
public:
    // Probes in a row without an answer after which the server counts as unhealthy: one may be lost to a busy moment.
    static constexpr int timeoutsUntilUnhealthy = 3;

    HealthChange observe(ServerProbe probe);

    // A flow's or request's connection was refused.
    HealthChange noteRefused() { return observe(ServerProbe::Refused); }

    bool healthy() const { return m_healthy; }

private:
    bool m_healthy = true;
    bool m_gone = false;
    int m_timeouts = 0;
};

} // namespace clementinesill::agent

#include "agent/serverhealth.h"

#include <utility>

namespace clementinesill::agent {

HealthChange ServerHealth::observe(ServerProbeResult probe)
{
    m_timeouts = probe == ServerProbeResult::TimedOut ? m_timeouts + 1 : 0;
    m_healthy = probe == ServerProbeResult::Healthy || (probe == ServerProbeResult::TimedOut && m_healthy && m_timeouts < timeoutsUntilUnhealthy);
    if (probe == ServerProbeResult::Refused)
        m_connectionRefused = true;
    // A response after a refused connection comes from a new process.
    const bool responded = probe == ServerProbeResult::Healthy || probe == ServerProbeResult::Unhealthy;
    const bool restarted = responded && std::exchange(m_connectionRefused, false);
    return { .restarted = restarted, .shouldLowerLimit = !m_healthy };
}

} // namespace clementinesill::agent

#include "agent/serverhealth.h"

#include <utility>

namespace clementinesill::agent {

HealthChange ServerHealth::observe(ServerProbe probe)
{
    m_timeouts = probe == ServerProbe::TimedOut ? m_timeouts + 1 : 0;
    m_healthy = probe == ServerProbe::Healthy || (probe == ServerProbe::TimedOut && m_healthy && m_timeouts < timeoutsUntilUnhealthy);
    if (probe == ServerProbe::Refused)
        m_gone = true;
    // Any answer after a refusal comes from another process than before.
    const bool answered = probe == ServerProbe::Healthy || probe == ServerProbe::Unhealthy;
    const bool restarted = answered && std::exchange(m_gone, false);
    return { .restarted = restarted, .lower = !m_healthy };
}

} // namespace clementinesill::agent

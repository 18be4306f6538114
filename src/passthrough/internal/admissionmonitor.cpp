#include "passthrough/admissionmonitor.h"

namespace clementinesill::passthrough {

std::optional<RelayReason> AdmissionMonitor::update(RelayReason rejectReason)
{
    // A misdirected or bounced packet does not show whether this agent accepts new flows.
    if (rejectReason == RelayReason::WrongTarget || rejectReason == RelayReason::Bounced || rejectReason == m_state)
        return std::nullopt;
    m_state = rejectReason;
    return m_state;
}

} // namespace clementinesill::passthrough

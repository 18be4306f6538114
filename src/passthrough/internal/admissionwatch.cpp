#include "passthrough/admissionwatch.h"

namespace clementinesill::passthrough {

std::optional<RelayReason> AdmissionWatch::note(RelayReason obstacle)
{
    // A packet for another service says nothing about this server.
    if (obstacle == RelayReason::WrongService || obstacle == RelayReason::HandedBack || obstacle == m_state)
        return std::nullopt;
    m_state = obstacle;
    return m_state;
}

} // namespace clementinesill::passthrough

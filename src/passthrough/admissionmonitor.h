#pragma once

#include "passthrough/types/relaydecision.h"

#include <optional>

namespace clementinesill::passthrough {

// Detects when an agent starts or stops accepting new flows, and why, from its decisions about SYNs.
class AdmissionMonitor {
public:
    // Records why a SYN was rejected, or Admitted if it was accepted. Returns the new state if it has changed.
    std::optional<RelayReason> update(RelayReason rejectReason);

private:
    RelayReason m_state = RelayReason::Admitted;
};

} // namespace clementinesill::passthrough

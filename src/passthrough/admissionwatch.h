#pragma once

#include "passthrough/types/relaydecision.h"

#include <optional>

namespace clementinesill::passthrough {

// Notices when an agent stops or starts to take new flows, and why, from what it decides about opening packets.
class AdmissionWatch {
public:
    // Takes in why a decision about an opening packet could not be to take it here; Admitted if it was taken. Returns the
    // new state if it has changed.
    std::optional<RelayReason> note(RelayReason obstacle);

private:
    RelayReason m_state = RelayReason::Admitted;
};

} // namespace clementinesill::passthrough

#pragma once

#include "passthrough/types/relaydecision.h"
#include "passthrough/types/waitingopening.h"

namespace clementinesill::passthrough {

// A SYN that no longer waits, and what to do with it.
struct ReleasedOpening {
    RelayDecision decision;
    WaitingOpening opening;
};

} // namespace clementinesill::passthrough

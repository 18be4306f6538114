#pragma once

#include "foundation/iclock.h"

#include <cstdint>

namespace clementinesill::control {

// What a leader knows of one peer.
struct PeerProgress {
    // Data folder that answered last; 0 before the first answer. Only the folder that the membership names is counted.
    std::uint64_t diskIdentity = 0;
    std::uint64_t nextIndex = 1;
    std::uint64_t matchIndex = 0;
    // When the newest acknowledged message was sent.
    MonotonicTime acknowledgedSend;
    MonotonicTime nextHeartbeat;
};

} // namespace clementinesill::control

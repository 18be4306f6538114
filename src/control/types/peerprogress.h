#pragma once

#include "foundation/iclock.h"

#include <cstdint>

namespace clementinesill::control {

// Replication state of one peer, as seen by the leader.
struct PeerProgress {
    // Disk identity in the peer's last response; 0 before the first one. Acknowledgements count only if it equals the
    // identity in the membership.
    std::uint64_t diskIdentity = 0;
    std::uint64_t nextIndex = 1;
    std::uint64_t matchIndex = 0;
    // Whether the peer held, when it last responded, every entry that was committed when the message was sent.
    bool caughtUp = false;
    // When the newest acknowledged message was sent.
    MonotonicTime acknowledgedSendTime;
    MonotonicTime nextHeartbeat;
};

} // namespace clementinesill::control

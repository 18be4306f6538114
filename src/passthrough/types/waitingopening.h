#pragma once

#include "foundation/iclock.h"
#include "passthrough/types/flowpacket.h"
#include "passthrough/types/search.h"

#include <cstddef>
#include <vector>

namespace clementinesill::passthrough {

// A SYN that waits at the agent for a slot of the server; the server has not seen it.
struct WaitingOpening {
    FlowPacket packet;
    Search search;
    // The packet as it was received.
    std::vector<std::byte> bytes;
    MonotonicTime arrivedAt;
};

} // namespace clementinesill::passthrough

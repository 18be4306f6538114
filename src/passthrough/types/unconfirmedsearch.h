#pragma once

#include "foundation/iclock.h"
#include "passthrough/types/flowpacket.h"
#include "passthrough/types/search.h"

namespace clementinesill::passthrough {

// A packet whose search found no server that holds its flow.
struct UnconfirmedSearch {
    FlowPacket packet;
    Search search;
    MonotonicTime addedAt;
};

} // namespace clementinesill::passthrough

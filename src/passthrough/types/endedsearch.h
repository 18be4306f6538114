#pragma once

#include "foundation/iclock.h"
#include "passthrough/types/flowpacket.h"
#include "passthrough/types/search.h"

namespace clementinesill::passthrough {

// A packet that no server was found for.
struct EndedSearch {
    FlowPacket packet;
    Search search;
    MonotonicTime since;
};

} // namespace clementinesill::passthrough

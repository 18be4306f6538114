#pragma once

#include "fleet/types/flowkey.h"

#include <cstdint>

namespace clementinesill::dataplane {

// The server that holds a flow. Agents report it to the balancer that forwarded a packet of the flow.
struct FlowHolder {
    fleet::FlowKey key;
    std::uint32_t serverId = 0;
    std::uint32_t incarnation = 0;

    bool operator==(const FlowHolder&) const = default;
};

} // namespace clementinesill::dataplane

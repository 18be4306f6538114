#pragma once

#include "fleet/types/flowkey.h"

#include <cstdint>

namespace clementinesill::dataplane {

// Tells a balancer which server holds a flow.
struct Holder {
    fleet::FlowKey key;
    std::uint32_t serverId = 0;
    std::uint32_t incarnation = 0;

    bool operator==(const Holder&) const = default;
};

} // namespace clementinesill::dataplane

#pragma once

#include <cstdint>

namespace clementinesill::dataplane {

// A cached place of a flow.
struct CachedServer {
    std::uint32_t serverId = 0;
    std::uint32_t incarnation = 0;

    bool operator==(const CachedServer&) const = default;
};

} // namespace clementinesill::dataplane

#pragma once

#include <cstdint>

namespace clementinesill::dataplane {

// Flow cache entry: the server that holds a flow.
struct CachedServer {
    std::uint32_t serverId = 0;
    std::uint32_t incarnation = 0;

    bool operator==(const CachedServer&) const = default;
};

} // namespace clementinesill::dataplane

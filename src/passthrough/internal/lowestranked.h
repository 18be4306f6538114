#pragma once

#include "fleet/serverrank.h"
#include "fleet/types/serverentry.h"

#include <cstdint>
#include <optional>
#include <span>

namespace clementinesill::passthrough {

// Returns the server with the lowest key, among equal keys the highest ranked one; null if there is none. key returns no value
// for a server that must not be selected. One pass without sorting or allocation, since it runs for every SYN.
template <typename Key>
const fleet::ServerEntry* lowestRanked(std::uint64_t flowHash, std::span<const fleet::ServerEntry> servers, Key&& key)
{
    fleet::HighestRanked highest(flowHash);
    unsigned lowestKey = 0;
    for (const auto& server : servers) {
        const std::optional<unsigned> serverKey = key(server);
        if (!serverKey || (highest.server() && *serverKey > lowestKey))
            continue;
        if (*serverKey < lowestKey)
            highest = fleet::HighestRanked(flowHash);
        lowestKey = *serverKey;
        highest.consider(server, [](const auto&) { return true; });
    }
    return highest.server();
}

} // namespace clementinesill::passthrough

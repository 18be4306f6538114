#pragma once

#include "dataplane/types/cachedserver.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace clementinesill::dataplane {

// Maps flows to the servers that hold them. Needed for flows whose server is not the first in rank order; also stores UDP flows
// and flows of large services. Soft state: entries may be evicted or wrong, since agents forward a packet to the server that
// holds its flow. Keyed by the seeded hash of the flow. Thread-safe.
class IFlowCache {
public:
    virtual ~IFlowCache() = default;

    // Marks the entry as most recently used.
    virtual std::optional<CachedServer> find(std::uint64_t flowHash) = 0;

    // Evicts the least recently used entry of the flow's set if the set is full.
    virtual void store(std::uint64_t flowHash, const CachedServer& server) = 0;

    virtual void erase(std::uint64_t flowHash) = 0;

    // Maximum number of entries.
    virtual std::size_t capacity() const = 0;
};

} // namespace clementinesill::dataplane

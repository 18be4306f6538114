#pragma once

#include "dataplane/types/cachedserver.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace clementinesill::dataplane {

// Which server holds a flow, for flows that rank order alone does not find. Soft state: bounded, and allowed to be
// wrong, since agents pass a packet on. Keyed by the flow's seeded hash. Thread-safe.
class IFlowCache {
public:
    virtual ~IFlowCache() = default;

    // Counts as a use of the entry.
    virtual std::optional<CachedServer> find(std::uint64_t flowHash) = 0;

    // Evicts the least recently used entry of the flow's set if the set is full.
    virtual void store(std::uint64_t flowHash, const CachedServer& server) = 0;

    virtual void erase(std::uint64_t flowHash) = 0;

    // Flows the cache can hold.
    virtual std::size_t capacity() const = 0;
};

} // namespace clementinesill::dataplane

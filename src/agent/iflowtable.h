#pragma once

#include "agent/types/removedflow.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace clementinesill::agent {

// The flows that an agent holds; the only authority on whether a flow exists. Confined to the agent's event loop.
class IFlowTable {
public:
    virtual ~IFlowTable() = default;

    // Null if the flow is not in the table. Valid until the table changes. The state must only be changed with setState.
    virtual FlowEntry* find(const fleet::FlowKey& key) = 0;

    // Replaces an entry of the same key. Assigns the flow a new id.
    virtual FlowEntry& insert(const fleet::FlowKey& key, const FlowEntry& entry) = 0;

    // Does nothing if the flow is not in the table.
    virtual void setState(const fleet::FlowKey& key, FlowState state) = 0;

    virtual void erase(const fleet::FlowKey& key) = 0;

    // Number of flows that are half-open or established.
    virtual std::size_t openFlowCount() const = 0;
    virtual std::size_t halfOpenFlowCount() const = 0;

    // Removes the oldest half-open flow; null if there is none.
    virtual std::optional<RemovedFlow> evictOldestHalfOpen() = 0;

    // Removes expired entries: half-open flows, established flows that no task serves, and closing flows.
    virtual std::vector<RemovedFlow> expire(MonotonicTime now) = 0;

    virtual void forEach(const std::function<void(const fleet::FlowKey&, const FlowEntry&)>& visit) const = 0;
};

} // namespace clementinesill::agent

#pragma once

#include "agent/types/removedflow.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace clementinesill::agent {

// The flows an agent holds: the only place where a flow's existence is decided. Confined to the agent's loop.
class IFlowTable {
public:
    virtual ~IFlowTable() = default;

    // Null if the flow is not held. Valid until the table changes. The caller must not change the entry's state.
    virtual FlowEntry* find(const fleet::FlowKey& key) = 0;

    // Replaces an entry of the same key; gives the flow a new id.
    virtual FlowEntry& insert(const fleet::FlowKey& key, const FlowEntry& entry) = 0;

    // Does nothing if the flow is not held.
    virtual void setState(const fleet::FlowKey& key, FlowState state) = 0;

    virtual void erase(const fleet::FlowKey& key) = 0;

    // Flows that are half-open or established.
    virtual std::size_t openFlows() const = 0;
    virtual std::size_t halfOpenFlows() const = 0;

    // Removes the half-open flow that was opened first.
    virtual std::optional<RemovedFlow> evictOldestHalfOpen() = 0;

    // Removes entries whose time is over: half-open ones, established ones that no task serves, closing ones.
    virtual std::vector<RemovedFlow> expire(MonotonicTime now) = 0;

    virtual void forEach(const std::function<void(const fleet::FlowKey&, const FlowEntry&)>& visit) const = 0;
};

} // namespace clementinesill::agent

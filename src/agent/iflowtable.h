#pragma once

#include "agent/types/flowentry.h"
#include "fleet/types/flowkey.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace clementinesill::agent {

// The flows an agent holds: the only place where a flow's existence is decided. Confined to the agent's loop.
class IFlowTable {
public:
    virtual ~IFlowTable() = default;

    // Null if the flow is not held. Valid until the table changes.
    virtual FlowEntry* find(const fleet::FlowKey& key) = 0;

    // Replaces an entry of the same key.
    virtual FlowEntry& insert(const fleet::FlowKey& key, const FlowEntry& entry) = 0;

    virtual void erase(const fleet::FlowKey& key) = 0;

    // Flows that are half-open or established.
    virtual std::size_t openFlows() const = 0;

    // Removes half-open and closing entries whose time is over and returns their keys with their last state.
    virtual std::vector<std::pair<fleet::FlowKey, FlowState>> expire(MonotonicTime now) = 0;

    virtual void forEach(const std::function<void(const fleet::FlowKey&, const FlowEntry&)>& visit) const = 0;
};

} // namespace clementinesill::agent

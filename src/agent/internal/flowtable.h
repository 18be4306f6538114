#pragma once

#include "agent/iflowtable.h"

#include <unordered_map>

namespace clementinesill::agent {

// Flow table in a hash map.
class FlowTable final : public IFlowTable {
public:
    FlowEntry* find(const fleet::FlowKey& key) override;
    FlowEntry& insert(const fleet::FlowKey& key, const FlowEntry& entry) override;
    void erase(const fleet::FlowKey& key) override;
    std::size_t openFlows() const override;
    std::vector<std::pair<fleet::FlowKey, FlowState>> expire(MonotonicTime now) override;
    void forEach(const std::function<void(const fleet::FlowKey&, const FlowEntry&)>& visit) const override;

private:
    std::unordered_map<fleet::FlowKey, FlowEntry> m_flows;
};

} // namespace clementinesill::agent

#pragma once

#include "agent/iflowtable.h"

#include <array>
#include <deque>
#include <unordered_map>

namespace clementinesill::agent {

// IFlowTable based on a hash map.
class FlowTable final : public IFlowTable {
public:
    // lwIP drops a connection whose SYN-ACK is not acknowledged within 20 s.
    static constexpr std::chrono::seconds halfOpenTimeout { 20 };
    // Twice lwIP's maximum segment lifetime, the length of TIME_WAIT.
    static constexpr std::chrono::seconds closingTimeout { 120 };

    FlowEntry* find(const fleet::FlowKey& key) override;
    FlowEntry& insert(const fleet::FlowKey& key, const FlowEntry& entry) override;
    void setState(const fleet::FlowKey& key, FlowState state) override;
    void erase(const fleet::FlowKey& key) override;
    std::size_t openFlowCount() const override { return count(FlowState::HalfOpen) + count(FlowState::Established); }
    std::size_t halfOpenFlowCount() const override { return count(FlowState::HalfOpen); }
    std::optional<RemovedFlow> evictOldestHalfOpen() override;
    std::vector<RemovedFlow> expire(MonotonicTime now) override;
    void forEach(const std::function<void(const fleet::FlowKey&, const FlowEntry&)>& visit) const override;

private:
    // Refers to a flow that was inserted half-open; stale once the flow has ended or left that state.
    struct HalfOpenRecord {
        fleet::FlowKey key;
        std::uint64_t id = 0;
    };

    std::size_t& count(FlowState state) { return m_counts[static_cast<std::size_t>(state)]; }
    std::size_t count(FlowState state) const { return m_counts[static_cast<std::size_t>(state)]; }
    bool isHalfOpen(const HalfOpenRecord& record) const;
    void removeStaleRecords();

    std::unordered_map<fleet::FlowKey, FlowEntry> m_flows;
    // Oldest first; may contain stale records.
    std::deque<HalfOpenRecord> m_halfOpenOrder;
    // Number of flows, indexed by FlowState.
    std::array<std::size_t, 3> m_counts {};
    std::uint64_t m_lastId = 0;
};

} // namespace clementinesill::agent

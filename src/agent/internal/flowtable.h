#pragma once

#include "agent/iflowtable.h"

#include <array>
#include <deque>
#include <unordered_map>

namespace clementinesill::agent {

// Flow table in a hash map.
class FlowTable final : public IFlowTable {
public:
    // lwIP gives up a connection whose SYN-ACK is not acknowledged after 20 s.
    static constexpr std::chrono::seconds halfOpenTimeout { 20 };
    // Twice lwIP's maximum segment lifetime, the length of TIME_WAIT.
    static constexpr std::chrono::seconds closingTimeout { 120 };

    FlowEntry* find(const fleet::FlowKey& key) override;
    FlowEntry& insert(const fleet::FlowKey& key, const FlowEntry& entry) override;
    void setState(const fleet::FlowKey& key, FlowState state) override;
    void erase(const fleet::FlowKey& key) override;
    std::size_t openFlows() const override { return count(FlowState::HalfOpen) + count(FlowState::Established); }
    std::size_t halfOpenFlows() const override { return count(FlowState::HalfOpen); }
    std::optional<RemovedFlow> evictOldestHalfOpen() override;
    std::vector<RemovedFlow> expire(MonotonicTime now) override;
    void forEach(const std::function<void(const fleet::FlowKey&, const FlowEntry&)>& visit) const override;

private:
    // A flow in the order of opening; stale once the flow has ended or is no longer half-open.
    struct Opening {
        fleet::FlowKey key;
        std::uint64_t id = 0;
    };

    std::size_t& count(FlowState state) { return m_counts[static_cast<std::size_t>(state)]; }
    std::size_t count(FlowState state) const { return m_counts[static_cast<std::size_t>(state)]; }
    bool halfOpen(const Opening& opening) const;
    void dropStaleOpenings();

    std::unordered_map<fleet::FlowKey, FlowEntry> m_flows;
    std::deque<Opening> m_openings;
    std::array<std::size_t, 3> m_counts {};
    std::uint64_t m_lastId = 0;
};

} // namespace clementinesill::agent

#include "agent/internal/flowtable.h"

#include <algorithm>

namespace clementinesill::agent {

namespace {

// lwIP gives up a connection whose SYN-ACK is not acknowledged after 20 s.
constexpr std::chrono::seconds halfOpenTimeout { 20 };
// Twice lwIP's maximum segment lifetime, the length of TIME_WAIT.
constexpr std::chrono::seconds closingTimeout { 120 };

bool expired(const FlowEntry& entry, MonotonicTime now)
{
    if (entry.state == FlowState::Established)
        return false;
    const auto timeout = entry.state == FlowState::HalfOpen ? halfOpenTimeout : closingTimeout;
    return now - entry.lastPacket >= timeout;
}

} // namespace

FlowEntry* FlowTable::find(const fleet::FlowKey& key)
{
    const auto found = m_flows.find(key);
    return found == m_flows.end() ? nullptr : &found->second;
}

FlowEntry& FlowTable::insert(const fleet::FlowKey& key, const FlowEntry& entry)
{
    return m_flows.insert_or_assign(key, entry).first->second;
}

void FlowTable::erase(const fleet::FlowKey& key)
{
    m_flows.erase(key);
}

std::size_t FlowTable::openFlows() const
{
    return static_cast<std::size_t>(std::count_if(m_flows.begin(), m_flows.end(), [](const auto& flow) { return flow.second.state != FlowState::Closing; }));
}

std::vector<std::pair<fleet::FlowKey, FlowState>> FlowTable::expire(MonotonicTime now)
{
    std::vector<std::pair<fleet::FlowKey, FlowState>> removed;
    for (const auto& [key, entry] : m_flows) {
        if (expired(entry, now))
            removed.emplace_back(key, entry.state);
    }
    for (const auto& [key, state] : removed)
        m_flows.erase(key);
    return removed;
}

void FlowTable::forEach(const std::function<void(const fleet::FlowKey&, const FlowEntry&)>& visit) const
{
    for (const auto& [key, entry] : m_flows)
        visit(key, entry);
}

} // namespace clementinesill::agent

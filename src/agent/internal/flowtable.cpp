#include "agent/internal/flowtable.h"

namespace clementinesill::agent {

namespace {

// Stale records that are kept regardless of the number of half-open flows, so that small tables are not compacted often.
constexpr std::size_t compactionSlackRecords = 64;

bool expired(const FlowEntry& entry, MonotonicTime now)
{
    if (entry.served && entry.state != FlowState::Closing)
        return false;
    const auto timeout = entry.state == FlowState::Closing ? FlowTable::closingTimeout : FlowTable::halfOpenTimeout;
    return now - entry.lastActivity >= timeout;
}

} // namespace

FlowEntry* FlowTable::find(const fleet::FlowKey& key)
{
    const auto found = m_flows.find(key);
    return found == m_flows.end() ? nullptr : &found->second;
}

FlowEntry& FlowTable::insert(const fleet::FlowKey& key, const FlowEntry& entry)
{
    erase(key);
    auto& inserted = m_flows.insert_or_assign(key, entry).first->second;
    inserted.id = ++m_lastId;
    ++count(inserted.state);
    if (inserted.state == FlowState::HalfOpen) {
        removeStaleRecords();
        m_halfOpenOrder.push_back({ .key = key, .id = inserted.id });
    }
    return inserted;
}

void FlowTable::setState(const fleet::FlowKey& key, FlowState state)
{
    auto* entry = find(key);
    if (!entry)
        return;
    --count(entry->state);
    entry->state = state;
    ++count(state);
}

void FlowTable::erase(const fleet::FlowKey& key)
{
    const auto found = m_flows.find(key);
    if (found == m_flows.end())
        return;
    --count(found->second.state);
    m_flows.erase(found);
}

bool FlowTable::isHalfOpen(const HalfOpenRecord& record) const
{
    const auto found = m_flows.find(record.key);
    return found != m_flows.end() && found->second.id == record.id && found->second.state == FlowState::HalfOpen;
}

void FlowTable::removeStaleRecords()
{
    while (!m_halfOpenOrder.empty() && !isHalfOpen(m_halfOpenOrder.front()))
        m_halfOpenOrder.pop_front();
    // Bounds the memory: a flow at the front that stays half-open keeps all stale records after it.
    if (m_halfOpenOrder.size() > 2 * (halfOpenFlowCount() + compactionSlackRecords))
        std::erase_if(m_halfOpenOrder, [this](const auto& record) { return !isHalfOpen(record); });
}

std::optional<RemovedFlow> FlowTable::evictOldestHalfOpen()
{
    removeStaleRecords();
    if (m_halfOpenOrder.empty())
        return std::nullopt;
    const auto key = m_halfOpenOrder.front().key;
    RemovedFlow removed { .key = key, .entry = m_flows.at(key) };
    m_halfOpenOrder.pop_front();
    erase(key);
    return removed;
}

std::vector<RemovedFlow> FlowTable::expire(MonotonicTime now)
{
    std::vector<RemovedFlow> removed;
    for (const auto& [key, entry] : m_flows) {
        if (expired(entry, now))
            removed.push_back({ .key = key, .entry = entry });
    }
    for (const auto& flow : removed)
        erase(flow.key);
    return removed;
}

void FlowTable::forEach(const std::function<void(const fleet::FlowKey&, const FlowEntry&)>& visit) const
{
    for (const auto& [key, entry] : m_flows)
        visit(key, entry);
}

} // namespace clementinesill::agent

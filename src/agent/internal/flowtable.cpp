#include "agent/internal/flowtable.h"

namespace clementinesill::agent {

namespace {

bool expired(const FlowEntry& entry, MonotonicTime now)
{
    if (entry.served && entry.state != FlowState::Closing)
        return false;
    const auto timeout = entry.state == FlowState::Closing ? FlowTable::closingTimeout : FlowTable::halfOpenTimeout;
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
    erase(key);
    auto& inserted = m_flows.insert_or_assign(key, entry).first->second;
    inserted.id = ++m_lastId;
    ++count(inserted.state);
    if (inserted.state == FlowState::HalfOpen) {
        dropStaleOpenings();
        m_openings.push_back({ .key = key, .id = inserted.id });
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

bool FlowTable::halfOpen(const Opening& opening) const
{
    const auto found = m_flows.find(opening.key);
    return found != m_flows.end() && found->second.id == opening.id && found->second.state == FlowState::HalfOpen;
}

void FlowTable::dropStaleOpenings()
{
    while (!m_openings.empty() && !halfOpen(m_openings.front()))
        m_openings.pop_front();
    // One flow that stays half-open must not keep the records of all that were opened behind it.
    if (m_openings.size() > 2 * (halfOpenFlows() + 64))
        std::erase_if(m_openings, [this](const auto& opening) { return !halfOpen(opening); });
}

std::optional<RemovedFlow> FlowTable::evictOldestHalfOpen()
{
    dropStaleOpenings();
    if (m_openings.empty())
        return std::nullopt;
    const auto key = m_openings.front().key;
    RemovedFlow removed { .key = key, .entry = m_flows.at(key) };
    m_openings.pop_front();
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

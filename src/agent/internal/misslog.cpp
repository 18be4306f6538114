#include "agent/internal/misslog.h"

#include "agent/internal/sequencewindow.h"

namespace clementinesill::agent {

MonotonicTime MissLog::recordMiss(const fleet::FlowKey& key, std::uint32_t sequence, MonotonicTime now)
{
    const auto found = m_streaks.find(key);
    if (found != m_streaks.end() && now - found->second.last < streakTimeout && areSequencesNear(sequence, found->second.sequence)) {
        found->second.last = now;
        found->second.sequence = sequence;
        return found->second.first;
    }
    evictOldestStreaks();
    const auto id = ++m_lastId;
    m_streaks[key] = { .first = now, .last = now, .sequence = sequence, .id = id };
    m_streakOrder.push_back({ .key = key, .id = id });
    return now;
}

void MissLog::evictOldestStreaks()
{
    while (!m_streakOrder.empty()) {
        const auto& oldest = m_streakOrder.front();
        const auto found = m_streaks.find(oldest.key);
        const bool ended = found == m_streaks.end() || found->second.id != oldest.id;
        if (!ended && m_streaks.size() < m_capacity && m_streakOrder.size() < 2 * m_capacity)
            return;
        if (!ended)
            m_streaks.erase(found);
        m_streakOrder.pop_front();
    }
}

} // namespace clementinesill::agent

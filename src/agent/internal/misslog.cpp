#include "agent/internal/misslog.h"

#include "agent/internal/sequencewindow.h"

namespace clementinesill::agent {

MonotonicTime MissLog::note(const fleet::FlowKey& key, std::uint32_t sequence, MonotonicTime now)
{
    const auto found = m_runs.find(key);
    if (found != m_runs.end() && now - found->second.last < runTimeout && nearSequence(sequence, found->second.sequence)) {
        found->second.last = now;
        found->second.sequence = sequence;
        return found->second.first;
    }
    makeRoom();
    const auto id = ++m_lastId;
    m_runs[key] = { .first = now, .last = now, .sequence = sequence, .id = id };
    m_starts.push_back({ .key = key, .id = id });
    return now;
}

void MissLog::makeRoom()
{
    while (!m_starts.empty()) {
        const auto& oldest = m_starts.front();
        const auto found = m_runs.find(oldest.key);
        const bool ended = found == m_runs.end() || found->second.id != oldest.id;
        if (!ended && m_runs.size() < m_capacity && m_starts.size() < 2 * m_capacity)
            return;
        if (!ended)
            m_runs.erase(found);
        m_starts.pop_front();
    }
}

} // namespace clementinesill::agent

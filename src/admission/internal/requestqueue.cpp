#include "admission/requestqueue.h"

#include <algorithm>

namespace clementinesill::admission {

RequestQueue::RequestQueue(const QueueOptions& options, const IClock& clock)
    : m_options(options)
    , m_clock(clock)
    , m_intervalEnd(clock.now() + options.interval)
{
}

std::size_t RequestQueue::size() const
{
    return m_entries[0].size() + m_entries[1].size();
}

std::optional<QueuedRequest> RequestQueue::push(QueuePriority priority)
{
    if (size() >= m_options.maximumLength)
        return std::nullopt;
    if (empty())
        recordWait(Duration::zero());
    ++m_lastId;
    m_entries[static_cast<std::size_t>(priority)].push_back({ m_lastId, m_clock.now() });
    return QueuedRequest { m_lastId, m_standingQueue ? 2 * m_options.target : m_options.interval };
}

std::optional<std::uint64_t> RequestQueue::pop()
{
    for (auto& entries : m_entries) {
        if (entries.empty())
            continue;
        const auto entry = entries.front();
        entries.pop_front();
        recordWait(m_clock.now() - entry.enqueuedAt);
        return entry.id;
    }
    return std::nullopt;
}

bool RequestQueue::remove(std::uint64_t id)
{
    for (auto& entries : m_entries) {
        const auto found = std::find_if(entries.begin(), entries.end(), [&](const Entry& entry) { return entry.id == id; });
        if (found == entries.end())
            continue;
        recordWait(m_clock.now() - found->enqueuedAt);
        entries.erase(found);
        return true;
    }
    return false;
}

void RequestQueue::recordWait(Duration wait)
{
    const auto now = m_clock.now();
    if (now < m_intervalEnd) {
        m_shortestWait = std::min(m_shortestWait, wait);
        return;
    }
    m_standingQueue = m_shortestWait > m_options.target;
    m_shortestWait = wait;
    m_intervalEnd = now + m_options.interval;
}

} // namespace clementinesill::admission

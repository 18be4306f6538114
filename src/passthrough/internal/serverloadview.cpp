#include "passthrough/serverloadview.h"

#include "dataplane/types/loadnotice.h"
#include "fleet/fleettable.h"

#include <algorithm>

namespace clementinesill::passthrough {

namespace {

// Each balancer tries a full server again at least this often, whatever validity a notice has, so that no balancer starves a
// service.
constexpr std::chrono::milliseconds maximumNoticeValidity { 100 };
// Longer than the time between the two retransmissions of a SYN (400 ms), so that the second retransmission avoids the server
// of the first transmission as well.
constexpr std::chrono::milliseconds unansweredValidity { 500 };
// Callers retransmit a SYN after 200 ms; the rest covers the way to the balancer.
constexpr std::chrono::milliseconds probeValidity { 250 };
// How long a server without answers is probed before it counts as any other.
constexpr std::chrono::seconds probePeriod { 5 };

} // namespace

std::string_view name(const PerceivedLoad& load)
{
    if (load.full)
        return "full";
    if (load.unanswered)
        return "unanswered";
    return load.busy ? "busy" : "none";
}

ServerLoadView::ServerLoadView(const IClock& clock)
    : m_clock(clock)
{
}

void ServerLoadView::apply(const dataplane::LoadNotice& notice, const fleet::FleetTable& table)
{
    const auto now = m_clock.now();
    prune(table, now);
    const auto expiry = now + std::min<Duration>(notice.validity, maximumNoticeValidity);
    for (const auto id : notice.servers) {
        if (!table.server(id))
            continue;
        auto& record = m_servers[id];
        record.recordedAt = now;
        if (notice.level == dataplane::LoadLevel::Full) {
            record.fullUntil = expiry;
            record.fullPriority = notice.priority;
        } else {
            record.busyUntil = expiry;
        }
    }
}

// Removes expired records with each notice, and those of removed servers with each new table.
void ServerLoadView::prune(const fleet::FleetTable& table, MonotonicTime now)
{
    const bool tableChanged = table.version() != m_tableVersion;
    m_tableVersion = table.version();
    const auto isObsolete = [&](const auto& entry) { return entry.second.expired(now) || (tableChanged && !table.server(entry.first)); };
    m_servers.erase(std::remove_if(m_servers.begin(), m_servers.end(), isObsolete), m_servers.end());
}

void ServerLoadView::recordUnanswered(std::uint32_t serverId)
{
    auto& record = m_servers[serverId];
    record.recordedAt = m_clock.now();
    record.unansweredUntil = record.recordedAt + unansweredValidity;
    record.probeUntil = record.unansweredUntil + probePeriod;
}

void ServerLoadView::recordPlacement(std::uint32_t serverId)
{
    const auto found = m_servers.find(serverId);
    const auto now = m_clock.now();
    if (found == m_servers.end() || found->second.unansweredUntil > now || found->second.probeUntil <= now)
        return;
    found->second.unansweredUntil = now + probeValidity;
    found->second.probeUntil = {};
}

void ServerLoadView::recordAnswer(std::uint32_t serverId)
{
    const auto found = m_servers.find(serverId);
    if (found != m_servers.end())
        found->second.unansweredUntil = found->second.probeUntil = {};
}

PerceivedLoad ServerLoadView::load(std::uint32_t serverId, std::uint32_t priority, MonotonicTime now) const
{
    const auto* found = record(serverId);
    return found ? found->load(priority, now) : PerceivedLoad();
}

const ServerLoadRecord* ServerLoadView::record(std::uint32_t serverId) const
{
    const auto found = m_servers.find(serverId);
    return found == m_servers.end() ? nullptr : &found->second;
}

LoadViewCounts ServerLoadView::counts() const
{
    const auto now = m_clock.now();
    LoadViewCounts counts;
    for (const auto& [id, record] : m_servers) {
        counts.busy += record.busyUntil > now ? 1 : 0;
        counts.unanswered += record.unansweredUntil > now ? 1 : 0;
        counts.full += record.fullUntil > now ? 1 : 0;
    }
    return counts;
}

} // namespace clementinesill::passthrough

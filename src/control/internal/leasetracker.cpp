#include "control/leasetracker.h"

#include "control/serverregistry.h"

namespace clementinesill::control {

namespace {

// With fewer silent servers than this, no partition is suspected, even if all servers are silent.
constexpr std::size_t partitionSilentMinimum = 4;

schema::ServerTransition transition(const schema::Server& server, schema::ServerTransition::Kind kind, Duration silence)
{
    schema::ServerTransition transition;
    transition.set_server_id(server.id());
    transition.set_incarnation(server.incarnation());
    transition.set_kind(kind);
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(silence).count();
    transition.set_reason("no renewal for " + std::to_string(milliseconds) + " ms");
    return transition;
}

} // namespace

void LeaseTracker::reset()
{
    m_reports.clear();
    m_lastMajorityLive = m_clock.now();
}

void LeaseTracker::recordRenewal(const schema::RenewRequest& request)
{
    m_reports[request.server_id()] = { .lastRenewal = m_clock.now(), .request = request };
}

MonotonicTime LeaseTracker::lastRenewalOf(const schema::ServerRecord& record)
{
    const auto& server = record.server();
    auto& report = m_reports.try_emplace(server.id(), Report { .lastRenewal = m_clock.now(), .request = {} }).first->second;
    if (report.request.incarnation() > server.incarnation())
        return report.lastRenewal;
    if (report.request.incarnation() != server.incarnation()) {
        // A new incarnation gets a full lease until its first renewal.
        report = { .lastRenewal = m_clock.now(), .request = {} };
        report.request.set_server_id(server.id());
        report.request.set_incarnation(server.incarnation());
    }
    return report.lastRenewal;
}

std::vector<schema::ServerTransition> LeaseTracker::dueTransitions(const ServerRegistry& servers)
{
    eraseRemoved(servers);
    const auto now = m_clock.now();
    std::vector<schema::ServerTransition> transitions;
    std::size_t live = 0;
    std::size_t silent = 0;
    for (const auto& [id, record] : servers.records()) {
        if (record.removed())
            continue;
        ++live;
        const auto silence = now - lastRenewalOf(record);
        if (silence <= m_options.lease)
            continue;
        ++silent;
        if (silence > m_options.lease * m_options.expiryLeases)
            transitions.push_back(transition(record.server(), schema::ServerTransition::KIND_EXPIRED, silence));
        else if (!record.silent())
            transitions.push_back(transition(record.server(), schema::ServerTransition::KIND_SILENT, silence));
    }
    m_transitionsSuppressed = suspectsPartition(silent, live) && !transitions.empty();
    if (m_transitionsSuppressed)
        transitions.clear();
    return transitions;
}

bool LeaseTracker::suspectsPartition(std::size_t silent, std::size_t live)
{
    const auto now = m_clock.now();
    if (silent < partitionSilentMinimum || silent * 2 <= live) {
        m_lastMajorityLive = now;
        return false;
    }
    return silent == live || now - m_lastMajorityLive < m_options.lease * m_options.expiryLeases;
}

void LeaseTracker::eraseRemoved(const ServerRegistry& servers)
{
    std::erase_if(m_reports, [&](const auto& entry) {
        const auto* record = servers.find(entry.first);
        return !record || record->removed();
    });
}

const LeaseTracker::Report* LeaseTracker::report(std::uint32_t serverId) const
{
    const auto found = m_reports.find(serverId);
    return found == m_reports.end() ? nullptr : &found->second;
}

} // namespace clementinesill::control

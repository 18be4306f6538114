#include "control/leasetracker.h"

#include "control/serverregistry.h"

namespace clementinesill::control {

namespace {

// No partition is suspected if fewer servers than this are silent, even if these are all servers.
constexpr std::size_t minSilentServersForPartition = 4;

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
    m_leases.clear();
    m_lastMajorityNotSilent = m_clock.now();
}

void LeaseTracker::recordRenewal(const schema::RenewRequest& request)
{
    m_leases[request.server_id()] = { .start = m_clock.now(), .request = request };
}

MonotonicTime LeaseTracker::updateLeaseStart(const schema::ServerRecord& record)
{
    const auto& server = record.server();
    auto& lease = m_leases.try_emplace(server.id(), Lease { .start = m_clock.now(), .request = {} }).first->second;
    if (lease.request.incarnation() > server.incarnation())
        return lease.start;
    if (lease.request.incarnation() != server.incarnation()) {
        // A new incarnation gets a full lease until its first renewal.
        lease = { .start = m_clock.now(), .request = {} };
        lease.request.set_server_id(server.id());
        lease.request.set_incarnation(server.incarnation());
    }
    return lease.start;
}

std::vector<schema::ServerTransition> LeaseTracker::dueTransitions(const ServerRegistry& servers)
{
    eraseRemoved(servers);
    const auto now = m_clock.now();
    std::vector<schema::ServerTransition> transitions;
    std::size_t total = 0;
    std::size_t silent = 0;
    for (const auto& [id, record] : servers.records()) {
        if (record.removed())
            continue;
        ++total;
        const auto silence = now - updateLeaseStart(record);
        if (silence <= m_options.lease)
            continue;
        ++silent;
        if (silence > m_options.lease * m_options.expiryLeases)
            transitions.push_back(transition(record.server(), schema::ServerTransition::KIND_EXPIRED, silence));
        else if (!record.silent())
            transitions.push_back(transition(record.server(), schema::ServerTransition::KIND_SILENT, silence));
    }
    m_transitionsSuppressed = suspectsPartition(silent, total) && !transitions.empty();
    if (m_transitionsSuppressed)
        transitions.clear();
    return transitions;
}

bool LeaseTracker::suspectsPartition(std::size_t silent, std::size_t total)
{
    const auto now = m_clock.now();
    if (silent < minSilentServersForPartition || silent * 2 <= total) {
        m_lastMajorityNotSilent = now;
        return false;
    }
    return silent == total || now - m_lastMajorityNotSilent < m_options.lease * m_options.expiryLeases;
}

void LeaseTracker::eraseRemoved(const ServerRegistry& servers)
{
    std::erase_if(m_leases, [&](const auto& entry) {
        const auto* record = servers.find(entry.first);
        return !record || record->removed();
    });
}

const LeaseTracker::Lease* LeaseTracker::lease(std::uint32_t serverId) const
{
    const auto found = m_leases.find(serverId);
    return found == m_leases.end() ? nullptr : &found->second;
}

} // namespace clementinesill::control

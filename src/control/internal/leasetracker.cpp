#include "control/leasetracker.h"

#include "control/serverregistry.h"

namespace clementinesill::control {

namespace {

// Fewer servers than this may all be silent at once without being taken for a cut-off controller.
constexpr std::size_t massSilenceMinimum = 4;

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

void LeaseTracker::restart()
{
    m_reports.clear();
    m_lastFewSilent = m_clock.now();
}

void LeaseTracker::renewed(const schema::RenewRequest& request)
{
    m_reports[request.server_id()] = { .heard = m_clock.now(), .request = request };
}

MonotonicTime LeaseTracker::lastHeard(const schema::ServerRecord& record)
{
    const auto& server = record.server();
    auto& report = m_reports.try_emplace(server.id(), Report { .heard = m_clock.now(), .request = {} }).first->second;
    if (report.request.incarnation() > server.incarnation())
        return report.heard;
    if (report.request.incarnation() != server.incarnation()) {
        // A new start gets a whole lease for its first renewal.
        report = { .heard = m_clock.now(), .request = {} };
        report.request.set_server_id(server.id());
        report.request.set_incarnation(server.incarnation());
    }
    return report.heard;
}

std::vector<schema::ServerTransition> LeaseTracker::due(const ServerRegistry& servers)
{
    forgetRemoved(servers);
    const auto now = m_clock.now();
    std::vector<schema::ServerTransition> due;
    std::size_t live = 0;
    std::size_t silent = 0;
    for (const auto& [id, record] : servers.records()) {
        if (record.removed())
            continue;
        ++live;
        const auto silence = now - lastHeard(record);
        if (silence <= m_options.lease)
            continue;
        ++silent;
        if (silence > m_options.lease * m_options.expiryLeases)
            due.push_back(transition(record.server(), schema::ServerTransition::KIND_EXPIRED, silence));
        else if (!record.silent())
            due.push_back(transition(record.server(), schema::ServerTransition::KIND_SILENT, silence));
    }
    m_heldBack = holdsBack(silent, live) && !due.empty();
    if (m_heldBack)
        due.clear();
    return due;
}

bool LeaseTracker::holdsBack(std::size_t silent, std::size_t live)
{
    const auto now = m_clock.now();
    if (silent < massSilenceMinimum || silent * 2 <= live) {
        m_lastFewSilent = now;
        return false;
    }
    return silent == live || now - m_lastFewSilent < m_options.lease * m_options.expiryLeases;
}

void LeaseTracker::forgetRemoved(const ServerRegistry& servers)
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

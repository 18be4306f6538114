#include "control/fleetstate.h"

// Table updates for daemons and snapshots of the fleet state.

namespace clementinesill::control {

namespace {

// Number of older versions whose update is cached.
constexpr std::size_t updateCacheLimit = 64;

} // namespace

std::shared_ptr<const schema::TableUpdate> FleetState::updateFrom(std::uint64_t version) const
{
    const auto found = m_updateCache.find(version);
    if (found != m_updateCache.end())
        return found->second;
    auto update = buildUpdate(version);
    if (m_updateCache.size() < updateCacheLimit)
        m_updateCache[version] = update;
    return update;
}

std::shared_ptr<const schema::TableUpdate> FleetState::buildUpdate(std::uint64_t version) const
{
    auto update = std::make_shared<schema::TableUpdate>();
    if (version >= m_version) {
        update->set_version(m_version);
        return update;
    }
    const auto change = version ? m_tableHistory.since(version) : std::nullopt;
    if (!change) {
        *update->mutable_table() = table();
        return update;
    }
    auto& delta = *update->mutable_delta();
    delta.set_from_version(version);
    delta.set_to_version(m_version);
    for (const auto id : change->services) {
        const auto found = m_services.find(id);
        if (found == m_services.end())
            delta.add_removed_services(id);
        else
            *delta.add_services() = found->second;
    }
    for (const auto& name : change->zones) {
        const auto found = m_zones.find(name);
        if (found == m_zones.end())
            delta.add_removed_zones(name);
        else
            *delta.add_zones() = found->second;
    }
    for (const auto id : change->servers) {
        const auto* record = m_servers.find(id);
        if (!record || record->removed())
            delta.add_removed_servers(id);
        else
            *delta.add_servers() = record->server();
    }
    for (const auto& endpoint : change->routes) {
        const auto found = m_document.routes().find(endpoint);
        if (found == m_document.routes().end())
            delta.add_removed_routes(endpoint);
        else
            *delta.add_routes() = found->second;
    }
    if (m_document.version())
        delta.set_document_version(*m_document.version());
    return update;
}

schema::Table FleetState::table() const
{
    schema::Table table;
    table.set_version(m_version);
    table.set_hash_seed(m_hashSeed);
    for (const auto& [id, service] : m_services)
        *table.add_services() = service;
    for (const auto& [name, zone] : m_zones)
        *table.add_zones() = zone;
    for (const auto& [id, record] : m_servers.records()) {
        if (!record.removed())
            *table.add_servers() = record.server();
    }
    for (const auto& [endpoint, route] : m_document.routes())
        *table.add_routes() = route;
    if (m_document.version())
        table.set_document_version(*m_document.version());
    return table;
}

schema::FleetSnapshot FleetState::snapshot() const
{
    schema::FleetSnapshot snapshot;
    snapshot.set_revision(m_revision);
    snapshot.set_version(m_version);
    snapshot.set_hash_seed(m_hashSeed);
    snapshot.set_next_service_id(m_nextServiceId);
    snapshot.set_next_server_id(m_servers.nextId());
    snapshot.set_next_event(m_nextEvent);
    snapshot.mutable_files()->Assign(m_files.begin(), m_files.end());
    for (const auto& [name, state] : m_fileZones) {
        auto& zone = *snapshot.add_file_zones();
        zone.set_name(name);
        zone.set_state(state);
    }
    for (const auto& [id, service] : m_services)
        *snapshot.add_services() = service;
    for (const auto& [name, zone] : m_zones)
        *snapshot.add_zones() = zone;
    for (const auto& [id, record] : m_servers.records())
        *snapshot.add_servers() = record;
    for (const auto& record : m_requestHistory.records())
        *snapshot.add_requests() = record;
    for (const auto& event : m_events)
        *snapshot.add_events() = event;
    m_document.save(snapshot);
    return snapshot;
}

void FleetState::restore(const schema::FleetSnapshot& snapshot)
{
    m_revision = snapshot.revision();
    m_version = snapshot.version();
    m_hashSeed = snapshot.hash_seed();
    m_nextServiceId = snapshot.next_service_id();
    m_nextEvent = snapshot.next_event();
    m_files.assign(snapshot.files().begin(), snapshot.files().end());
    m_fileZones.clear();
    for (const auto& zone : snapshot.file_zones())
        m_fileZones[zone.name()] = zone.state();
    m_services.clear();
    for (const auto& service : snapshot.services())
        m_services[service.id()] = service;
    m_zones.clear();
    for (const auto& zone : snapshot.zones())
        m_zones[zone.name()] = zone;
    m_servers.restore({ snapshot.servers().begin(), snapshot.servers().end() }, snapshot.next_server_id());
    m_requestHistory.clear();
    for (const auto& record : snapshot.requests())
        m_requestHistory.add(record);
    m_events.assign(snapshot.events().begin(), snapshot.events().end());
    m_document.restore(snapshot);
    m_tableHistory.reset(m_version);
    m_updateCache.clear();
}

} // namespace clementinesill::control

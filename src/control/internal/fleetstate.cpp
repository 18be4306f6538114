#include "control/fleetstate.h"

#include "control/internal/configdifference.h"
#include "foundation/error.h"
#include "foundation/types/endpoint.h"

#include <array>
#include <google/protobuf/util/message_differencer.h>
#include <utility>

namespace clementinesill::control {

namespace {

// Requests whose response is kept for retries; exceeds the number of configuration changes in a day.
constexpr std::size_t requestHistoryLimit = 8192;
constexpr std::size_t eventLimit = 2048;
// Services kept that the configuration no longer names and that have no server in the table; those with the lowest ids are evicted
// first. A server that was cut off returns under the same ids.
constexpr std::size_t retiredServiceLimit = 256;

CommandResult rejection(schema::Outcome::Code code, const std::string& message)
{
    return { .code = code, .message = message };
}

// Returns an error message, empty if the announcement is valid.
std::string validateAnnouncement(const schema::ServerAnnouncement& announcement)
{
    if (announcement.name().empty())
        return "the announcement names no server; set 'name' in the agent's settings";
    try {
        parseEndpoint(announcement.agent_endpoint());
        return {};
    } catch (const Error& error) {
        return error.what();
    }
}

} // namespace

FleetState::FleetState()
    : m_requestHistory(requestHistoryLimit)
{
}

FleetState::Handler FleetState::handlerFor(const schema::Command& command)
{
    switch (command.change_case()) {
    case schema::Command::kFoundFleet:
        return &FleetState::initializeFleet;
    case schema::Command::kConfig:
        return &FleetState::changeConfig;
    case schema::Command::kZone:
        return &FleetState::changeZone;
    case schema::Command::kDrain:
        return &FleetState::drain;
    case schema::Command::kAnnouncement:
        return &FleetState::announce;
    case schema::Command::kLeave:
        return &FleetState::leave;
    case schema::Command::kTransition:
        return &FleetState::transition;
    case schema::Command::kMembership:
        return &FleetState::recordMembershipChange;
    case schema::Command::kDocument:
        return &FleetState::changeDocument;
    case schema::Command::kReadBarrier:
        return &FleetState::applyReadBarrier;
    case schema::Command::CHANGE_NOT_SET:
        return nullptr;
    }
    return nullptr;
}

CommandResult FleetState::apply(const schema::Command& command)
{
    if (const auto* first = m_requestHistory.find(command.request_id())) {
        if (first->fingerprint() != command.fingerprint())
            return rejection(schema::Outcome::CODE_INVALID, "request id '" + command.request_id() + "' was used for another change; use a new id for each change");
        const auto& response = first->response();
        return { .code = response.outcome().code(), .message = response.outcome().message(), .revision = response.revision(), .version = response.version() };
    }
    m_tableChange = {};
    m_newEvents.clear();
    const auto handler = handlerFor(command);
    auto result = handler ? (this->*handler)(command) : CommandResult {};
    completeCommand(command, result);
    return result;
}

void FleetState::completeCommand(const schema::Command& command, CommandResult& result)
{
    if (!m_tableChange.empty()) {
        m_tableHistory.push(++m_version, std::move(m_tableChange));
        m_updateCache.clear();
    }
    for (auto& event : m_newEvents) {
        event.set_number(m_nextEvent++);
        event.set_time_ms(command.time_ms());
        event.set_operator_name(command.operator_name());
        event.set_version(m_version);
        m_events.push_back(std::move(event));
        if (m_events.size() > eventLimit)
            m_events.pop_front();
    }
    result.revision = m_revision;
    result.version = m_version;
    if (command.request_id().empty())
        return;
    schema::RequestRecord record;
    record.set_request_id(command.request_id());
    record.set_fingerprint(command.fingerprint());
    record.mutable_response()->mutable_outcome()->set_code(result.code);
    record.mutable_response()->mutable_outcome()->set_message(result.message);
    record.mutable_response()->set_revision(result.revision);
    record.mutable_response()->set_version(result.version);
    m_requestHistory.add(std::move(record));
}

CommandResult FleetState::initializeFleet(const schema::Command& command)
{
    if (m_hashSeed)
        return {};
    m_hashSeed = command.found_fleet().hash_seed();
    // Creates the first table version, so that an initialized fleet without services differs from an uninitialized one.
    m_tableHistory.push(++m_version, {});
    m_updateCache.clear();
    addEvent("fleet_founded", "fleet", "the controllers have formed their group");
    return {};
}

CommandResult FleetState::changeConfig(const schema::Command& command)
{
    if (command.base_revision() != m_revision)
        return revisionConflict(command);
    const auto& config = command.config();
    changeServices(config.services());
    changeZones(config);
    m_files.assign(config.files().begin(), config.files().end());
    ++m_revision;
    addEvent("config_accepted", "revision " + std::to_string(m_revision), std::to_string(m_files.size()) + " files applied");
    return {};
}

CommandResult FleetState::revisionConflict(const schema::Command& command) const
{
    const auto name = command.has_zone() ? command.zone().zone() : firstDifferingFile(m_files, command.config().files());
    return rejection(schema::Outcome::CODE_CONFLICT,
        "the change of '" + name + "' was made from revision " + std::to_string(command.base_revision()) + " but revision " + std::to_string(m_revision)
            + " is in force; read the configuration, make the change again and send it under a new request id");
}

void FleetState::changeServices(const google::protobuf::RepeatedPtrField<schema::Service>& services)
{
    std::map<std::string, schema::Service> newServices;
    for (const auto& service : services)
        newServices[service.name()] = service;
    for (auto& [id, current] : m_services) {
        const auto found = newServices.find(current.name());
        if (found == newServices.end()) {
            retireService(current);
            continue;
        }
        found->second.set_id(id);
        if (!google::protobuf::util::MessageDifferencer::Equals(found->second, current)) {
            addEvent("service_changed", current.name(), current.retired() ? "the configuration names it again" : "its record changed");
            current = found->second;
            m_tableChange.services.insert(id);
        }
        newServices.erase(found);
    }
    for (auto& [name, service] : newServices) {
        service.set_id(m_nextServiceId);
        m_tableChange.services.insert(m_nextServiceId);
        m_services[m_nextServiceId++] = service;
        addEvent("service_added", name, "the configuration names it");
    }
    evictRetiredServices();
}

// The servers stay in the table: their open flows belong to routes that may be there still, with another service as target.
void FleetState::retireService(schema::Service& service)
{
    if (service.retired())
        return;
    service.set_retired(true);
    m_tableChange.services.insert(service.id());
    addEvent("service_retired", service.name(), "the configuration no longer names it; its open flows continue");
}

void FleetState::evictRetiredServices()
{
    std::vector<std::uint32_t> unused;
    for (const auto& [id, service] : m_services) {
        if (service.retired())
            unused.push_back(id);
    }
    if (unused.size() <= retiredServiceLimit)
        return;
    const auto inUse = m_servers.servicesWithServers();
    std::erase_if(unused, [&](const auto id) { return inUse.contains(id); });
    for (std::size_t index = 0; index + retiredServiceLimit < unused.size(); ++index) {
        addEvent("service_removed", m_services[unused[index]].name(), "it has no servers and other services were retired since");
        m_services.erase(unused[index]);
        m_tableChange.services.insert(unused[index]);
    }
}

CommandResult FleetState::changeDocument(const schema::Command& command)
{
    const auto& change = command.document();
    if (!m_document.supersedes(change.version()))
        return {};
    changeServices(change.services());
    std::vector<std::uint32_t> ids;
    for (const auto& service : change.services())
        ids.push_back(findService(service.name())->id());
    m_tableChange.routes = m_document.replace(change, ids);
    m_tableChange.document = true;
    ++m_revision;
    addEvent("document_accepted", "version " + std::to_string(change.version()), std::to_string(change.routes_size()) + " routes");
    return {};
}

CommandResult FleetState::applyReadBarrier(const schema::Command&)
{
    return {};
}

// Changes the state of a zone only if its state in the files changed, so that an unrelated change of the files never
// returns a zone to service that operators took out by command.
void FleetState::changeZones(const schema::ConfigChange& config)
{
    const auto before = std::exchange(m_fileZones, {});
    for (const auto& zone : config.zones())
        m_fileZones[zone.name()] = zone.state();
    for (const auto& [name, state] : m_fileZones) {
        const auto found = before.find(name);
        const bool changed = found == before.end() ? state == schema::ZONE_STATE_OUT : found->second != state;
        if (changed && state != schema::ZONE_STATE_UNSPECIFIED)
            setZone(name, state);
        else if (!m_zones.contains(name))
            setZone(name, schema::ZONE_STATE_IN);
    }
    for (const auto& [name, state] : before) {
        const auto found = m_zones.find(name);
        if (m_fileZones.contains(name) || found == m_zones.end())
            continue;
        // Keeps a zone that operators took out of service by command.
        if (found->second.state() == schema::ZONE_STATE_OUT && state != schema::ZONE_STATE_OUT)
            continue;
        m_zones.erase(found);
        m_tableChange.zones.insert(name);
        addEvent("zone_removed", name, "no file names it");
    }
}

void FleetState::setZone(const std::string& name, schema::ZoneState state)
{
    auto& zone = m_zones[name];
    if (zone.state() == state)
        return;
    zone.set_name(name);
    zone.set_state(state);
    m_tableChange.zones.insert(name);
    addEvent(state == schema::ZONE_STATE_OUT ? "zone_out" : "zone_in", name, "asked for by operators");
}

CommandResult FleetState::changeZone(const schema::Command& command)
{
    const auto& change = command.zone();
    if (command.base_revision() && command.base_revision() != m_revision)
        return revisionConflict(command);
    if (!change.create() && !m_zones.contains(change.zone()))
        return rejection(schema::Outcome::CODE_NOT_FOUND, "no zone is named '" + change.zone() + "'; name one that the operators' files or a server's announcement give");
    setZone(change.zone(), change.state());
    ++m_revision;
    return {};
}

CommandResult FleetState::drain(const schema::Command& command)
{
    const auto& change = command.drain();
    const auto found = m_servers.drain(change.server(), change.resume());
    if (found.empty())
        return rejection(schema::Outcome::CODE_NOT_FOUND, "no server in the table is named '" + change.server() + "'; list the servers and use the name shown");
    markServersChanged(found);
    addEvent(change.resume() ? "server_resumed" : "server_drained", change.server(), "asked for by operators");
    return {};
}

CommandResult FleetState::announce(const schema::Command& command)
{
    const auto& announcement = command.announcement();
    const auto error = validateAnnouncement(announcement);
    if (!error.empty())
        return rejection(schema::Outcome::CODE_INVALID, error);
    const auto* service = findService(announcement.service());
    if (!service)
        return rejection(schema::Outcome::CODE_NOT_FOUND, "no service is named '" + announcement.service() + "'; add it to the operators' files or correct the agent's settings");
    const auto change = m_servers.announce(announcement, service->id());
    if (change.status == ServerRegistry::Status::Replaced)
        return rejection(schema::Outcome::CODE_CONFLICT, "a newer start of '" + announcement.name() + "' has registered; stop this agent or give it another name");
    if (change.status == ServerRegistry::Status::Changed) {
        markServersChanged({ change.serverId });
        addEvent("server_registered", announcement.name(), "incarnation " + std::to_string(change.incarnation) + " at " + announcement.agent_endpoint());
    }
    markServersDisplaced(change.displaced, announcement.name());
    if (!announcement.zone().empty() && !m_zones.contains(announcement.zone()))
        setZone(announcement.zone(), schema::ZONE_STATE_IN);
    CommandResult result;
    result.serverId = change.serverId;
    result.incarnation = change.incarnation;
    return result;
}

CommandResult FleetState::leave(const schema::Command& command)
{
    const auto change = m_servers.leave(command.leave());
    if (change.status == ServerRegistry::Status::Unknown)
        return rejection(schema::Outcome::CODE_NOT_FOUND, "the server is not in the table under this incarnation; nothing is left to do");
    if (change.status == ServerRegistry::Status::Changed) {
        markServersChanged({ change.serverId });
        addEvent(command.leave().draining() ? "server_draining" : "server_left", serverName(change.serverId), "asked for by its agent");
    }
    return {};
}

CommandResult FleetState::transition(const schema::Command& command)
{
    static constexpr std::array<const char*, 6> kinds { "", "server_silent", "server_returned", "server_expired", "server_damped", "server_released" };
    const auto& transition = command.transition();
    const auto change = m_servers.transition(transition);
    if (change.status == ServerRegistry::Status::Unknown)
        return rejection(schema::Outcome::CODE_NOT_FOUND, "the server is not in the table under this incarnation; nothing is left to do");
    if (change.status == ServerRegistry::Status::Changed) {
        markServersChanged({ change.serverId });
        addEvent(kinds.at(static_cast<std::size_t>(transition.kind())), serverName(change.serverId), transition.reason());
    }
    return {};
}

CommandResult FleetState::recordMembershipChange(const schema::Command& command)
{
    std::string names;
    for (const auto& member : command.membership().members())
        names += (names.empty() ? "" : ", ") + member.name();
    addEvent("membership_changed", names, "these controllers vote");
    return {};
}

void FleetState::markServersChanged(const std::vector<std::uint32_t>& ids)
{
    m_tableChange.servers.insert(ids.begin(), ids.end());
}

void FleetState::markServersDisplaced(const std::vector<std::uint32_t>& ids, const std::string& displacedBy)
{
    markServersChanged(ids);
    for (const auto id : ids)
        addEvent("server_displaced", serverName(id), displacedBy + " has announced itself at its endpoint");
}

const schema::Service* FleetState::findService(const std::string& name) const
{
    for (const auto& [id, service] : m_services) {
        if (service.name() == name)
            return &service;
    }
    return nullptr;
}

std::string FleetState::serverName(std::uint32_t id) const
{
    const auto* record = m_servers.find(id);
    return record ? record->server().name() : std::to_string(id);
}

void FleetState::addEvent(const std::string& kind, const std::string& subject, const std::string& reason)
{
    auto& event = m_newEvents.emplace_back();
    event.set_kind(kind);
    event.set_subject(subject);
    event.set_reason(reason);
}

} // namespace clementinesill::control

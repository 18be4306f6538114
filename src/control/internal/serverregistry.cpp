#include "control/serverregistry.h"

#include <algorithm>
#include <google/protobuf/util/message_differencer.h>

namespace clementinesill::control {

namespace {

// Replaced boot ids kept for each server.
constexpr int replacedBootIdLimit = 16;
// Records of removed servers kept; the records with the lowest ids are evicted first.
constexpr std::size_t removedServerLimit = 65536;

bool sameRecord(const schema::ServerRecord& left, const schema::ServerRecord& right)
{
    return google::protobuf::util::MessageDifferencer::Equals(left, right);
}

void updateState(schema::ServerRecord& record)
{
    auto& server = *record.mutable_server();
    if (record.silent()) {
        server.set_state(schema::SERVER_STATE_SILENT);
        return;
    }
    const bool draining = record.drained_by_operator() || record.drained_by_agent() || record.damped();
    server.set_state(draining ? schema::SERVER_STATE_DRAINING : schema::SERVER_STATE_ACTIVE);
}

void copyAnnouncement(schema::Server& server, const schema::ServerAnnouncement& announcement)
{
    server.set_zone(announcement.zone());
    server.set_agent_endpoint(announcement.agent_endpoint());
    server.set_weight(std::max(1U, announcement.weight()));
    server.set_slots(announcement.slots());
    server.set_connection_limit(announcement.connection_limit());
}

bool wasReplaced(const schema::ServerRecord& record, std::uint64_t bootId)
{
    const auto& replaced = record.replaced_boot_ids();
    return std::find(replaced.begin(), replaced.end(), bootId) != replaced.end();
}

void startIncarnation(schema::ServerRecord& record, std::uint64_t bootId)
{
    auto& replaced = *record.mutable_replaced_boot_ids();
    replaced.Add(record.boot_id());
    if (replaced.size() > replacedBootIdLimit)
        replaced.erase(replaced.begin());
    record.set_boot_id(bootId);
    record.set_drained_by_agent(false);
    record.mutable_server()->set_incarnation(record.server().incarnation() + 1);
}

ServerRegistry::UpdateResult makeResult(const schema::ServerRecord& record, bool changed)
{
    return {
        .status = changed ? ServerRegistry::Status::Changed : ServerRegistry::Status::Unchanged,
        .serverId = record.server().id(),
        .incarnation = record.server().incarnation(),
        .displaced = {},
    };
}

} // namespace

ServerRegistry::UpdateResult ServerRegistry::announce(const schema::ServerAnnouncement& announcement, std::uint32_t serviceId)
{
    evictRemovedRecords();
    auto& record = findOrCreateRecord(announcement, serviceId);
    if (wasReplaced(record, announcement.boot_id()))
        return { .status = Status::Replaced, .serverId = record.server().id(), .incarnation = record.server().incarnation(), .displaced = {} };
    const auto before = record;
    if (record.boot_id() != announcement.boot_id())
        startIncarnation(record, announcement.boot_id());
    if (!record.removed())
        m_byEndpoint.erase(record.server().agent_endpoint());
    copyAnnouncement(*record.mutable_server(), announcement);
    record.set_silent(false);
    m_removedCount -= record.removed();
    record.set_removed(false);
    updateState(record);
    auto result = makeResult(record, !sameRecord(before, record));
    result.displaced = claimEndpoint(record);
    return result;
}

schema::ServerRecord& ServerRegistry::findOrCreateRecord(const schema::ServerAnnouncement& announcement, std::uint32_t serviceId)
{
    const auto [it, added] = m_byName.try_emplace({ serviceId, announcement.name() }, m_nextId);
    if (!added)
        return m_records.at(it->second);
    auto& record = m_records[m_nextId];
    record.mutable_server()->set_id(m_nextId++);
    record.mutable_server()->set_incarnation(1);
    record.mutable_server()->set_service_id(serviceId);
    record.mutable_server()->set_name(announcement.name());
    record.set_boot_id(announcement.boot_id());
    record.set_removed(true);
    ++m_removedCount;
    return record;
}

std::vector<std::uint32_t> ServerRegistry::claimEndpoint(schema::ServerRecord& record)
{
    const auto [it, added] = m_byEndpoint.try_emplace(record.server().agent_endpoint(), record.server().id());
    if (added)
        return {};
    const auto displaced = it->second;
    remove(m_records.at(displaced));
    m_byEndpoint[record.server().agent_endpoint()] = record.server().id();
    return { displaced };
}

ServerRegistry::UpdateResult ServerRegistry::leave(const schema::LeaveRequest& request)
{
    auto* record = findInTable(request.server_id(), request.incarnation());
    if (!record)
        return { .status = Status::Unknown, .displaced = {} };
    const auto before = *record;
    if (request.draining())
        record->set_drained_by_agent(true);
    else
        remove(*record);
    updateState(*record);
    return makeResult(*record, !sameRecord(before, *record));
}

ServerRegistry::UpdateResult ServerRegistry::transition(const schema::ServerTransition& transition)
{
    auto* record = findInTable(transition.server_id(), transition.incarnation());
    if (!record)
        return { .status = Status::Unknown, .displaced = {} };
    const auto before = *record;
    switch (transition.kind()) {
    case schema::ServerTransition::KIND_SILENT:
        record->set_silent(true);
        break;
    case schema::ServerTransition::KIND_RETURNED:
        record->set_silent(false);
        break;
    case schema::ServerTransition::KIND_EXPIRED:
        remove(*record);
        break;
    case schema::ServerTransition::KIND_DAMPED:
        record->set_damped(true);
        break;
    case schema::ServerTransition::KIND_RELEASED:
        record->set_damped(false);
        break;
    default:
        break;
    }
    updateState(*record);
    return makeResult(*record, !sameRecord(before, *record));
}

std::vector<std::uint32_t> ServerRegistry::drain(const std::string& name, bool resume)
{
    std::vector<std::uint32_t> found;
    for (auto& [id, record] : m_records) {
        if (record.removed() || record.server().name() != name)
            continue;
        record.set_drained_by_operator(!resume);
        updateState(record);
        found.push_back(id);
    }
    return found;
}

std::set<std::uint32_t> ServerRegistry::servicesWithServers() const
{
    std::set<std::uint32_t> services;
    for (const auto& [id, record] : m_records) {
        if (!record.removed())
            services.insert(record.server().service_id());
    }
    return services;
}

const schema::ServerRecord* ServerRegistry::find(std::uint32_t id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

schema::ServerRecord* ServerRegistry::findInTable(std::uint32_t id, std::uint32_t incarnation)
{
    const auto found = m_records.find(id);
    if (found == m_records.end() || found->second.removed() || found->second.server().incarnation() != incarnation)
        return nullptr;
    return &found->second;
}

void ServerRegistry::remove(schema::ServerRecord& record)
{
    if (record.removed())
        return;
    record.set_removed(true);
    ++m_removedCount;
    m_byEndpoint.erase(record.server().agent_endpoint());
}

void ServerRegistry::evictRemovedRecords()
{
    for (auto it = m_records.begin(); it != m_records.end() && m_removedCount > removedServerLimit;) {
        if (!it->second.removed()) {
            ++it;
            continue;
        }
        const auto& server = it->second.server();
        m_byName.erase({ server.service_id(), server.name() });
        it = m_records.erase(it);
        --m_removedCount;
    }
}

void ServerRegistry::restore(std::vector<schema::ServerRecord> records, std::uint32_t nextId)
{
    *this = {};
    m_nextId = nextId;
    for (auto& record : records) {
        const auto id = record.server().id();
        m_byName[{ record.server().service_id(), record.server().name() }] = id;
        if (record.removed())
            ++m_removedCount;
        else
            m_byEndpoint[record.server().agent_endpoint()] = id;
        m_records[id] = std::move(record);
    }
}

} // namespace clementinesill::control

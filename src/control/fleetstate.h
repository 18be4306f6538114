#pragma once

#include "control/configdocument.h"
#include "control/ifleetstate.h"
#include "control/requesthistory.h"
#include "control/serverregistry.h"
#include "control/tablehistory.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace clementinesill::control {

// Configuration, zones, services and servers of the fleet, changed only by commands of the replicated log.
class FleetState final : public IFleetState {
public:
    FleetState();

    CommandResult apply(const schema::Command& command) override;
    schema::FleetSnapshot snapshot() const override;
    void restore(const schema::FleetSnapshot& snapshot) override;
    std::uint64_t revision() const override { return m_revision; }
    std::uint64_t version() const override { return m_version; }
    std::shared_ptr<const schema::TableUpdate> updateFrom(std::uint64_t version) const override;
    const schema::ServerRecord* server(std::uint32_t id) const override { return m_servers.find(id); }

    schema::Table table() const;
    const std::vector<schema::ConfigFile>& files() const { return m_files; }
    const ConfigDocument& document() const { return m_document; }
    // The most recent events, oldest first.
    const std::deque<schema::Event>& events() const { return m_events; }
    const std::map<std::string, schema::Zone>& zones() const { return m_zones; }
    const ServerRegistry& servers() const { return m_servers; }
    // 0 until the fleet is initialized.
    std::uint64_t hashSeed() const { return m_hashSeed; }

private:
    using Handler = CommandResult (FleetState::*)(const schema::Command&);

    static Handler handlerFor(const schema::Command& command);
    CommandResult initializeFleet(const schema::Command& command);
    CommandResult changeConfig(const schema::Command& command);
    CommandResult changeZone(const schema::Command& command);
    CommandResult drain(const schema::Command& command);
    CommandResult announce(const schema::Command& command);
    CommandResult leave(const schema::Command& command);
    CommandResult transition(const schema::Command& command);
    CommandResult recordMembershipChange(const schema::Command& command);
    CommandResult changeDocument(const schema::Command& command);
    CommandResult applyReadBarrier(const schema::Command& command);

    void changeServices(const google::protobuf::RepeatedPtrField<schema::Service>& services);
    void retireService(schema::Service& service);
    void evictRetiredServices();
    void changeZones(const schema::ConfigChange& config);
    void setZone(const std::string& name, schema::ZoneState state);
    void markServersChanged(const std::vector<std::uint32_t>& ids);
    void markServersDisplaced(const std::vector<std::uint32_t>& ids, const std::string& displacedBy);
    const schema::Service* findService(const std::string& name) const;
    std::string serverName(std::uint32_t id) const;
    void addEvent(const std::string& kind, const std::string& subject, const std::string& reason);
    CommandResult revisionConflict(const schema::Command& command) const;
    void completeCommand(const schema::Command& command, CommandResult& result);
    std::shared_ptr<const schema::TableUpdate> buildUpdate(std::uint64_t version) const;

    std::uint64_t m_revision = 0;
    std::uint64_t m_version = 0;
    std::uint64_t m_hashSeed = 0;
    std::uint32_t m_nextServiceId = 1;
    std::uint64_t m_nextEvent = 1;
    std::vector<schema::ConfigFile> m_files;
    // State of each zone that the operators' files contain.
    std::map<std::string, schema::ZoneState> m_fileZones;
    ConfigDocument m_document;
    std::map<std::uint32_t, schema::Service> m_services;
    std::map<std::string, schema::Zone> m_zones;
    ServerRegistry m_servers;
    RequestHistory m_requestHistory;
    std::deque<schema::Event> m_events;
    TableHistory m_tableHistory;
    // Table changes of the command that is being applied.
    TableChange m_tableChange;
    // Events of the command that is being applied.
    std::vector<schema::Event> m_newEvents;
    // Updates from older versions to the current version, keyed by the older version.
    mutable std::map<std::uint64_t, std::shared_ptr<const schema::TableUpdate>> m_updateCache;
};

} // namespace clementinesill::control

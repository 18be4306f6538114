#pragma once

#include "fleet/types/routeentry.h"
#include "fleet/types/serviceentry.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace clementinesill::schema {
class Route;
class Server;
class Service;
class Table;
} // namespace clementinesill::schema

namespace clementinesill::fleet {

// Immutable view of one version of the fleet table, indexed for lookups.
class FleetTable {
public:
    FleetTable() = default;

    // Records that this program cannot use are left out and logged; the others take effect.
    explicit FleetTable(const schema::Table& table);

    std::uint64_t version() const { return m_version; }
    std::uint64_t hashSeed() const { return m_hashSeed; }

    // Null if no service has the address, id or name.
    const ServiceEntry* service(const Endpoint& endpoint, TransportProtocol protocol) const;
    const ServiceEntry* service(std::uint32_t id) const;
    const ServiceEntry* service(const std::string& name) const;
    // Null if no server has the id.
    const ServerEntry* server(std::uint32_t id) const;
    // Null if no route has the address.
    const RouteEntry* route(const Endpoint& endpoint) const;
    // Whether the operators took the availability zone out of service; false for an unknown zone.
    bool zoneOut(const std::string& zone) const;

    const std::vector<ServiceEntry>& services() const { return m_services; }
    std::size_t serverCount() const { return m_servers.size(); }
    // Highest server id in the table, 0 if there is none. Ids are assigned in ascending order.
    std::uint32_t newestServerId() const { return m_newestServerId; }
    bool hasSilentServer() const { return m_hasSilentServer; }

    // Version of the operators' configuration document that defines the routes; empty if there is none.
    std::optional<std::uint64_t> documentVersion() const { return m_documentVersion; }

private:
    void addService(const schema::Service& record);
    void addRoute(const schema::Route& record);
    // Throws Error (Malformed) if the service is not in the table.
    void addServer(const schema::Server& record);
    void indexServers();

    std::uint64_t m_version = 0;
    std::uint64_t m_hashSeed = 0;
    std::optional<std::uint64_t> m_documentVersion;
    std::uint32_t m_newestServerId = 0;
    bool m_hasSilentServer = false;
    std::vector<ServiceEntry> m_services;
    // Indices in m_services.
    std::unordered_map<std::uint64_t, std::size_t> m_byEndpoint;
    std::unordered_map<std::uint32_t, std::size_t> m_byId;
    // By server id: index in m_services, and index in the servers of that service.
    std::unordered_map<std::uint32_t, std::pair<std::size_t, std::size_t>> m_servers;
    // By zone name: whether the zone is out of service.
    std::map<std::string, bool> m_zoneIsOut;
    std::map<Endpoint, RouteEntry> m_routes;
};

} // namespace clementinesill::fleet

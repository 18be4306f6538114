#pragma once

#include "fleet.pb.h"
#include "foundation/types/endpoint.h"

#include <cstdint>
#include <string>

namespace clementinesill::bench {

// Size of the table that a benchmark uses.
struct TableSize {
    std::uint32_t services = 1;
    std::uint32_t servers = 4;
    // Data endpoint of the agents of all servers.
    std::string agentEndpoint = "127.0.0.1:24800";
};

// Address of the service with this zero-based number.
inline Endpoint serviceEndpoint(std::uint32_t number)
{
    return { .address = 0x0a000001 + number, .port = 80 };
}

// Creates a table with its servers spread evenly over its services and over 15 availability zones.
inline schema::Table makeTable(const TableSize& size)
{
    constexpr std::uint32_t zoneCount = 15;
    schema::Table table;
    table.set_version(1);
    table.set_hash_seed(7);
    for (std::uint32_t number = 0; number < size.services; ++number) {
        auto& service = *table.add_services();
        service.set_id(number + 1);
        service.set_name("service-" + std::to_string(number));
        service.set_address(formatAddress(serviceEndpoint(number).address));
        service.set_port(serviceEndpoint(number).port);
        service.set_protocol(schema::PROTOCOL_TCP);
    }
    for (std::uint32_t number = 0; number < zoneCount; ++number) {
        auto& zone = *table.add_zones();
        zone.set_name("zone-" + std::to_string(number));
        zone.set_state(schema::ZONE_STATE_IN);
    }
    for (std::uint32_t number = 0; number < size.servers; ++number) {
        auto& server = *table.add_servers();
        server.set_id(number + 1);
        server.set_incarnation(1);
        server.set_service_id(number % size.services + 1);
        server.set_zone("zone-" + std::to_string(number % zoneCount));
        server.set_agent_endpoint(size.agentEndpoint);
        server.set_weight(1);
        server.set_name("server-" + std::to_string(number));
    }
    return table;
}

} // namespace clementinesill::bench

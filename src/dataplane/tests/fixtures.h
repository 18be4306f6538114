#pragma once

#include "dataplane/types/packetview.h"
#include "fleet.pb.h"
#include "fleet/fleettable.h"

#include <cstring>
#include <memory>
#include <sys/mman.h>
#include <unistd.h>
#include <vector>

// Records, packets and buffers shared by the tests.
namespace clementinesill::dataplane::fixtures {

constexpr std::uint32_t firstServiceId = 1;
constexpr std::uint32_t secondServiceId = 2;
const Endpoint firstService = parseEndpoint("10.0.0.1:80");
const Endpoint secondService = parseEndpoint("10.0.0.2:80");
const Endpoint udpService = parseEndpoint("10.0.0.3:53");

// A loopback address derived from the process id, so that tests can run at the same time on one machine.
inline std::uint32_t processLoopbackAddress()
{
    constexpr std::uint32_t loopback = 0x7f000001;
    return loopback + ((static_cast<std::uint32_t>(getpid()) & 0xffff) << 8);
}

inline void addService(schema::Table& table, std::uint32_t id, const Endpoint& endpoint, schema::Protocol protocol)
{
    auto& service = *table.add_services();
    service.set_id(id);
    service.set_name("service" + std::to_string(id));
    service.set_address(formatAddress(endpoint.address));
    service.set_port(endpoint.port);
    service.set_protocol(protocol);
}

inline schema::Server& addServer(schema::Table& table, std::uint32_t id, std::uint32_t serviceId, const std::string& zone = "mandaue")
{
    auto& server = *table.add_servers();
    server.set_id(id);
    server.set_incarnation(1);
    server.set_service_id(serviceId);
    server.set_zone(zone);
    server.set_agent_endpoint(format(Endpoint { .address = processLoopbackAddress(), .port = static_cast<std::uint16_t>(24000 + id) }));
    server.set_weight(1);
    server.set_state(schema::SERVER_STATE_ACTIVE);
    return server;
}

// Two TCP services and one UDP service. Server ids start at 1 and are consecutive across the services.
inline schema::Table makeTable(std::uint64_t version, std::uint32_t serversPerService)
{
    schema::Table table;
    table.set_version(version);
    table.set_hash_seed(7);
    addService(table, firstServiceId, firstService, schema::PROTOCOL_TCP);
    addService(table, secondServiceId, secondService, schema::PROTOCOL_TCP);
    addService(table, 3, udpService, schema::PROTOCOL_UDP);
    for (std::uint32_t index = 0; index < 3 * serversPerService; ++index)
        addServer(table, index + 1, index / serversPerService + 1);
    return table;
}

inline PacketView makePacket(std::uint32_t caller, const Endpoint& service, std::uint8_t tcpFlags)
{
    PacketView packet;
    packet.key = { .caller = { .address = 0x0a010000 + caller, .port = 4000 }, .service = service, .protocol = service == udpService ? fleet::TransportProtocol::Udp : fleet::TransportProtocol::Tcp };
    packet.tcpFlags = tcpFlags;
    return packet;
}

// Buffer that ends at a guard page, so that a read past the end faults.
class GuardedBuffer {
public:
    GuardedBuffer()
        : m_pages(static_cast<std::byte*>(mmap(nullptr, 2 * pageBytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0)))
    {
        mprotect(m_pages + pageBytes, pageBytes, PROT_NONE);
    }

    ~GuardedBuffer() { munmap(m_pages, 2 * pageBytes); }
    GuardedBuffer(const GuardedBuffer&) = delete;
    GuardedBuffer& operator=(const GuardedBuffer&) = delete;

    std::span<std::byte> copyToEnd(std::span<const std::byte> bytes)
    {
        auto* const start = m_pages + pageBytes - bytes.size();
        if (!bytes.empty())
            std::memcpy(start, bytes.data(), bytes.size());
        return { start, bytes.size() };
    }

private:
    static constexpr std::size_t pageBytes = 4096;
    std::byte* m_pages;
};

} // namespace clementinesill::dataplane::fixtures

#pragma once

#include "agent/internal/nexthop.h"
#include "agent/tests/sentmessage.h"
#include "agent/tests/simulatedagent.h"
#include "agent/types/tableview.h"
#include "dataplane/types/genevemessage.h"
#include "dataplane/types/packetview.h"
#include "fleet.pb.h"
#include "fleet/fleettable.h"
#include "fleet/serverrank.h"
#include "testing/manualclock.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace clementinesill::agent {

constexpr std::uint32_t testServiceId = 7;
constexpr Endpoint testService { .address = 0x0a000001, .port = 80 };

// The endpoint at which the agent of a server receives packets.
inline Endpoint agentEndpoint(std::uint32_t serverId) { return { .address = 0x7f010000 + serverId, .port = 25000 }; }

// A simulated fleet: all versions of the fleet table, and the agents, each of which may have another version. The test
// processes each message and distributes each table explicitly.
class SimulatedFleet {
public:
    SimulatedFleet()
    {
        schema.set_hash_seed(11);
        addService(testServiceId, testService);
        publish();
    }

    void addService(std::uint32_t id, const Endpoint& endpoint)
    {
        auto& service = *schema.add_services();
        service.set_id(id);
        service.set_name("service" + std::to_string(id));
        service.set_address(formatAddress(endpoint.address));
        service.set_port(endpoint.port);
        service.set_protocol(protocol == fleet::TransportProtocol::Udp ? schema::PROTOCOL_UDP : schema::PROTOCOL_TCP);
    }

    schema::Server& serverRecord(std::uint32_t serverId)
    {
        for (auto& server : *schema.mutable_servers()) {
            if (server.id() == serverId)
                return server;
        }
        return *schema.add_servers();
    }

    // Adds a server, or a new incarnation of it, to the next table version and starts an agent that has this version.
    SimulatedAgent& addServer(std::uint32_t serverId, std::uint32_t serviceId = testServiceId, const Endpoint& service = testService)
    {
        auto& server = serverRecord(serverId);
        server.set_id(serverId);
        server.set_incarnation(server.incarnation() + 1);
        server.set_service_id(serviceId);
        server.set_zone("zone" + std::to_string(serverId % 3));
        server.set_agent_endpoint(format(agentEndpoint(serverId)));
        server.set_state(schema::SERVER_STATE_ACTIVE);
        publish();
        const ServerIdentity identity { .serviceId = serviceId, .serverId = serverId, .incarnation = server.incarnation(), .service = service, .protocol = protocol };
        auto& agent = agents[agentEndpoint(serverId).address];
        agent = std::make_unique<SimulatedAgent>(identity, clock, latestTable(), connectionLimit, halfOpenLimit, canRejectRequests);
        agent->confirmedAt = clock.now();
        return *agent;
    }

    void setDraining(std::uint32_t serverId, bool draining)
    {
        serverRecord(serverId).set_state(draining ? schema::SERVER_STATE_DRAINING : schema::SERVER_STATE_ACTIVE);
        publish();
    }

    schema::Zone* zoneRecord(const std::string& name)
    {
        for (auto& zone : *schema.mutable_zones()) {
            if (zone.name() == name)
                return &zone;
        }
        return schema.add_zones();
    }

    void setZoneOut(const std::string& name, bool out)
    {
        auto* zone = zoneRecord(name);
        zone->set_name(name);
        zone->set_state(out ? schema::ZONE_STATE_OUT : schema::ZONE_STATE_IN);
        publish();
    }

    void remove(std::uint32_t serverId)
    {
        auto& servers = *schema.mutable_servers();
        servers.erase(std::remove_if(servers.begin(), servers.end(), [&](const auto& server) { return server.id() == serverId; }), servers.end());
        publish();
    }

    void publish()
    {
        schema.set_version(tableVersions.size() + 1);
        tableVersions.push_back(std::make_shared<const fleet::FleetTable>(schema));
    }

    std::shared_ptr<const fleet::FleetTable> latestTable() const { return tableVersions.back(); }

    SimulatedAgent& agent(std::uint32_t serverId) { return *agents.at(agentEndpoint(serverId).address); }

    // Gives the latest table to all agents, confirmed now.
    void distributeTable()
    {
        for (auto& [address, agent] : agents) {
            agent->table = latestTable();
            agent->confirmedAt = clock.now();
        }
    }

    // Advances the clock, confirms the table of the agents that have the latest version, and expires flows.
    void advance(Duration duration)
    {
        clock.advance(duration);
        for (auto& [address, agent] : agents) {
            if (agent->table == latestTable())
                agent->confirmedAt = clock.now();
            for (const auto& flow : agent->flows.expire(clock.now())) {
                if (flow.holdsAdmission())
                    agent->admission.releaseFlow();
            }
        }
    }

    // The servers of a table version in the flow's rank order.
    static std::vector<fleet::ServerEntry> rankedServers(const fleet::FleetTable& table, const fleet::FlowKey& key, std::uint32_t serviceId = testServiceId)
    {
        const auto& servers = table.service(serviceId)->servers;
        std::vector<std::uint16_t> order(servers.size());
        order.resize(fleet::rankServers(fleet::hash(key, table.hashSeed()), servers, order));
        std::vector<fleet::ServerEntry> result;
        for (const auto index : order)
            result.push_back(servers[index]);
        return result;
    }

    // The message that a balancer with the table sends for a packet: to the server in its flow cache if any, else to the first
    // eligible server in rank order; null if there is none.
    std::optional<SentMessage> balancerMessage(const fleet::FleetTable& table, const dataplane::PacketView& packet, const fleet::ServerEntry* cachedServer = nullptr) const
    {
        for (const auto& server : rankedServers(table, packet.key)) {
            const bool isTarget = cachedServer ? server.id == cachedServer->id : packet.opensTcpFlow() ? server.accepting()
                                                                                                       : !server.zoneOut;
            if (isTarget)
                return messageTo(table, packet, server);
        }
        return std::nullopt;
    }

    static SentMessage messageTo(const fleet::FleetTable& table, const dataplane::PacketView& packet, const fleet::ServerEntry& server)
    {
        SentMessage sent { .target = server.agent, .message = {}, .packet = packet };
        sent.message.serviceId = testServiceId;
        sent.message.route = dataplane::Route { .tableVersion = table.version(), .serviceId = testServiceId, .serverId = server.id, .incarnation = server.incarnation };
        return sent;
    }

    // Returns the decision of the agent at the target; null if there is no agent. A forwarded message is readdressed to the
    // next agent.
    std::optional<FlowDecision> processAtTarget(SentMessage& sent)
    {
        const auto found = agents.find(sent.target.address);
        if (found == agents.end())
            return std::nullopt;
        auto& agent = *found->second;
        const auto decision = agent.router.decide(sent.message, sent.packet, { .table = *agent.table, .confirmedAt = agent.confirmedAt });
        if (decision.action == FlowAction::Forward) {
            addressNextHop(sent.message, sent.packet, decision, agent.identity, *agent.table);
            sent.target = decision.nextAgent;
        }
        return decision;
    }

    // Processes a message at one agent after the other until one does not forward it. Returns a default decision (Drop) if
    // the target has no agent.
    FlowDecision processUntilDecided(SentMessage& sent)
    {
        auto decision = processAtTarget(sent);
        while (decision && decision->action == FlowAction::Forward)
            decision = processAtTarget(sent);
        return decision.value_or(FlowDecision {});
    }

    ManualClock clock;
    fleet::TransportProtocol protocol = fleet::TransportProtocol::Tcp;
    std::uint32_t connectionLimit = 1000;
    std::size_t halfOpenLimit = 256;
    bool canRejectRequests = false;
    schema::Table schema;
    std::vector<std::shared_ptr<const fleet::FleetTable>> tableVersions;
    // Keyed by the address of the agent's endpoint.
    std::map<std::uint32_t, std::unique_ptr<SimulatedAgent>> agents;
};

inline fleet::FlowKey testKey(std::uint32_t caller)
{
    return { .caller = { .address = 0x0b000000 + caller, .port = 40000 }, .service = testService, .protocol = fleet::TransportProtocol::Tcp };
}

inline dataplane::PacketView synPacket(const fleet::FlowKey& key, std::uint32_t sequence)
{
    return { .bytes = {}, .key = key, .tcpFlags = dataplane::TcpFlags::syn, .sequence = sequence };
}

inline dataplane::PacketView ackPacket(const fleet::FlowKey& key, std::uint32_t sequence, std::uint32_t acknowledgement, std::uint16_t payloadBytes = 0)
{
    return { .bytes = {}, .key = key, .tcpFlags = dataplane::TcpFlags::ack, .sequence = sequence, .acknowledgement = acknowledgement, .payloadBytes = payloadBytes };
}

// Records a SYN-ACK sent by the agent's TCP stack.
inline void sendSynAck(SimulatedAgent& agent, const fleet::FlowKey& key, std::uint32_t ownSequence)
{
    if (auto* entry = agent.flows.find(key))
        recordOwnPacket(*entry, { .bytes = {}, .key = key, .tcpFlags = dataplane::TcpFlags::syn | dataplane::TcpFlags::ack, .sequence = ownSequence });
}

} // namespace clementinesill::agent

#pragma once

#include "agent/internal/nexthop.h"
#include "agent/tests/routedagent.h"
#include "agent/tests/sentmessage.h"
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

// Where the agent of a server receives its packets.
inline Endpoint agentEndpoint(std::uint32_t serverId) { return { .address = 0x7f010000 + serverId, .port = 25000 }; }

// Agents, the versions of the table, and a queue of datagrams between them. Nothing moves by itself.
class RoutedFleet {
public:
    RoutedFleet()
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

    schema::Server& record(std::uint32_t serverId)
    {
        for (auto& server : *schema.mutable_servers()) {
            if (server.id() == serverId)
                return server;
        }
        return *schema.add_servers();
    }

    // Adds a server to the next version and starts its agent; the agent has the newest version.
    RoutedAgent& join(std::uint32_t serverId, std::uint32_t serviceId = testServiceId, const Endpoint& service = testService)
    {
        auto& server = record(serverId);
        server.set_id(serverId);
        server.set_incarnation(server.incarnation() + 1);
        server.set_service_id(serviceId);
        server.set_zone("zone" + std::to_string(serverId % 3));
        server.set_agent_endpoint(format(agentEndpoint(serverId)));
        server.set_state(schema::SERVER_STATE_ACTIVE);
        publish();
        const ServerIdentity identity { .serviceId = serviceId, .serverId = serverId, .incarnation = server.incarnation(), .service = service, .protocol = protocol };
        auto& agent = agents[agentEndpoint(serverId).address];
        agent = std::make_unique<RoutedAgent>(identity, clock, newest(), connectionLimit, halfOpenLimit, answersRefusals);
        agent->confirmedAt = clock.now();
        return *agent;
    }

    void setDraining(std::uint32_t serverId, bool draining)
    {
        record(serverId).set_state(draining ? schema::SERVER_STATE_DRAINING : schema::SERVER_STATE_ACTIVE);
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
        schema.set_version(versions.size() + 1);
        versions.push_back(std::make_shared<const fleet::FleetTable>(schema));
    }

    std::shared_ptr<const fleet::FleetTable> newest() const { return versions.back(); }

    RoutedAgent& agent(std::uint32_t serverId) { return *agents.at(agentEndpoint(serverId).address); }

    // Every agent takes the newest version, confirmed now.
    void spread()
    {
        for (auto& [address, agent] : agents) {
            agent->table = newest();
            agent->confirmedAt = clock.now();
        }
    }

    // Time passes; agents that hold the newest version hear it confirmed.
    void advance(Duration duration)
    {
        clock.advance(duration);
        for (auto& [address, agent] : agents) {
            if (agent->table == newest())
                agent->confirmedAt = clock.now();
            for (const auto& flow : agent->flows.expire(clock.now())) {
                if (flow.holdsAdmission())
                    agent->admission.releaseFlow();
            }
        }
    }

    // The servers of a table version in the flow's rank order.
    static std::vector<fleet::ServerEntry> ranked(const fleet::FleetTable& table, const fleet::FlowKey& key, std::uint32_t serviceId = testServiceId)
    {
        const auto& servers = table.service(serviceId)->servers;
        std::vector<std::uint16_t> order(servers.size());
        order.resize(fleet::rankServers(fleet::hash(key, table.hashSeed()), servers, order));
        std::vector<fleet::ServerEntry> result;
        for (const auto index : order)
            result.push_back(servers[index]);
        return result;
    }

    // What a balancer with the table does with a packet: the server named if any, else the first in rank order.
    std::optional<SentMessage> fromBalancer(const fleet::FleetTable& table, const dataplane::PacketView& packet, const fleet::ServerEntry* named = nullptr) const
    {
        for (const auto& server : ranked(table, packet.key)) {
            const bool takes = named ? server.id == named->id : packet.opensTcpFlow() ? server.accepting()
                                                                                      : !server.zoneOut;
            if (takes)
                return addressed(table, packet, server);
        }
        return std::nullopt;
    }

    static SentMessage addressed(const fleet::FleetTable& table, const dataplane::PacketView& packet, const fleet::ServerEntry& server)
    {
        SentMessage sent { .target = server.agent, .message = {}, .packet = packet };
        sent.message.serviceId = testServiceId;
        sent.message.route = dataplane::Route { .tableVersion = table.version(), .serviceId = testServiceId, .serverId = server.id, .incarnation = server.incarnation };
        return sent;
    }

    // What the addressed agent decides; null if no agent is at the endpoint. A packet that is passed on is readdressed.
    std::optional<FlowDecision> step(SentMessage& sent)
    {
        const auto found = agents.find(sent.target.address);
        if (found == agents.end())
            return std::nullopt;
        auto& agent = *found->second;
        const auto decision = agent.router.decide(sent.message, sent.packet, { .table = *agent.table, .confirmedAt = agent.confirmedAt });
        if (decision.action == FlowAction::PassOn) {
            addressNextHop(sent.message, sent.packet, decision, agent.identity, *agent.table);
            sent.target = decision.nextAgent;
        }
        return decision;
    }

    // Follows a packet until an agent does something else than pass it on.
    FlowDecision follow(SentMessage& sent)
    {
        auto decision = step(sent);
        while (decision && decision->action == FlowAction::PassOn)
            decision = step(sent);
        return decision.value_or(FlowDecision {});
    }

    ManualClock clock;
    fleet::TransportProtocol protocol = fleet::TransportProtocol::Tcp;
    std::uint32_t connectionLimit = 1000;
    std::size_t halfOpenLimit = 256;
    bool answersRefusals = false;
    schema::Table schema;
    std::vector<std::shared_ptr<const fleet::FleetTable>> versions;
    // By the address of the agent's endpoint.
    std::map<std::uint32_t, std::unique_ptr<RoutedAgent>> agents;
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

// The agent's stack answers the SYN.
inline void sendSynAck(RoutedAgent& agent, const fleet::FlowKey& key, std::uint32_t ownSequence)
{
    if (auto* entry = agent.flows.find(key))
        noteOwnPacket(*entry, { .bytes = {}, .key = key, .tcpFlags = dataplane::TcpFlags::syn | dataplane::TcpFlags::ack, .sequence = ownSequence });
}

} // namespace clementinesill::agent

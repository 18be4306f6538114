#include "dataplane/internal/forwarder.h"

#include "dataplane/iflowcache.h"
#include "dataplane/types/holder.h"
#include "dataplane/types/packetview.h"
#include "fleet/fleettable.h"
#include "fleet/serverrank.h"

namespace clementinesill::dataplane {

namespace {

ForwardDecision sendTo(const fleet::ServerEntry& server, const fleet::FleetTable& table, ForwardReason reason, std::uint8_t flags)
{
    return {
        .reason = reason,
        .dropped = false,
        .agent = server.agent,
        .route = {
            .tableVersion = table.version(),
            .serviceId = server.serviceId,
            .serverId = server.id,
            .incarnation = server.incarnation,
            .flags = flags,
        },
    };
}

ForwardDecision drop(ForwardReason reason)
{
    return { .reason = reason };
}

} // namespace

Forwarder::Forwarder(IFlowCache& cache)
    : m_cache(cache)
{
}

ForwardDecision Forwarder::forward(const PacketView& packet, const fleet::FleetTable& table)
{
    const auto* service = table.service(packet.key.service, packet.key.protocol);
    if (!service)
        return drop(ForwardReason::NoService);
    const auto flowHash = fleet::hash(packet.key, table.hashSeed());
    return packet.opensTcpFlow() ? openFlow(*service, table, flowHash) : continueFlow(*service, table, flowHash);
}

ForwardDecision Forwarder::openFlow(const fleet::ServiceEntry& service, const fleet::FleetTable& table, std::uint64_t flowHash)
{
    const auto* server = fleet::firstInRank(flowHash, service.servers, fleet::takesNewFlows);
    if (!server)
        return drop(service.servers.empty() ? ForwardReason::NoServer : ForwardReason::NoAcceptingServer);
    if (server != fleet::firstInRank(flowHash, service.servers, fleet::isReachable))
        m_cache.store(flowHash, { .serverId = server->id, .incarnation = server->incarnation });
    else
        m_cache.erase(flowHash);
    return sendTo(*server, table, ForwardReason::FirstAccepting, Route::opensFlow);
}

const fleet::ServerEntry* Forwarder::cached(const fleet::FleetTable& table, std::uint64_t flowHash)
{
    const auto entry = m_cache.find(flowHash);
    if (!entry)
        return nullptr;
    const auto* server = table.server(entry->serverId);
    if (server && server->incarnation == entry->incarnation && !server->zoneOut)
        return server;
    m_cache.erase(flowHash);
    return nullptr;
}

ForwardDecision Forwarder::continueFlow(const fleet::ServiceEntry& service, const fleet::FleetTable& table, std::uint64_t flowHash)
{
    if (const auto* server = cached(table, flowHash))
        return sendTo(*server, table, ForwardReason::CacheHit, Route::fromCache);
    const auto* server = fleet::firstInRank(flowHash, service.servers, fleet::isReachable);
    if (!server)
        return drop(ForwardReason::NoServer);
    return sendTo(*server, table, ForwardReason::FirstInRank, 0);
}

void Forwarder::learn(const Holder& holder, const fleet::FleetTable& table)
{
    const auto* service = table.service(holder.key.service, holder.key.protocol);
    const auto* server = table.server(holder.serverId);
    if (!service || !server || server->serviceId != service->id || server->incarnation != holder.incarnation)
        return;
    m_cache.store(fleet::hash(holder.key, table.hashSeed()), { .serverId = holder.serverId, .incarnation = holder.incarnation });
}

} // namespace clementinesill::dataplane

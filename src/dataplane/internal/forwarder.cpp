#include "dataplane/internal/forwarder.h"

#include "dataplane/iflowcache.h"
#include "dataplane/types/flowholder.h"
#include "dataplane/types/packetview.h"
#include "fleet/fleettable.h"
#include "fleet/serverrank.h"

namespace clementinesill::dataplane {

namespace {

// For services with at least this many servers, ranking the servers costs more than a lookup in the flow cache.
constexpr std::size_t rankCachingMinimumServers = 32;

// Whether the flow cache also stores servers that were found by rank order.
bool cachesRankResult(const fleet::ServiceEntry& service)
{
    return service.servers.size() >= rankCachingMinimumServers;
}

CachedServer cacheEntryFor(const fleet::ServerEntry& server)
{
    return { .serverId = server.id, .incarnation = server.incarnation };
}

} // namespace

Forwarder::Forwarder(IFlowCache& cache)
    : m_cache(cache)
{
}

ForwardDecision Forwarder::decide(const PacketView& packet, const fleet::FleetTable& table)
{
    const auto* service = table.service(packet.key.service, packet.key.protocol);
    if (!service)
        return drop(ForwardReason::NoService);
    const bool udp = packet.key.protocol == fleet::TransportProtocol::Udp;
    const bool mayOpenFlow = udp || packet.opensTcpFlow();
    const FlowContext flow { .service = *service, .table = table, .hash = fleet::hash(packet.key, table.hashSeed()), .udp = udp };
    if (const auto* server = findCached(flow)) {
        if (!mayOpenFlow)
            return forwardTo(*server, table, ForwardReason::CacheHit, Route::fromCache);
        // A retransmitted SYN goes to the same server as the first, unless the server no longer accepts new flows.
        if (server->accepting())
            return forwardTo(*server, table, ForwardReason::CacheHit, Route::fromCache | Route::opensFlow);
        if (udp)
            return forwardTo(*server, table, ForwardReason::CacheHit, Route::fromCache);
    }
    return mayOpenFlow ? decideNewFlow(flow) : decideExistingFlow(flow);
}

ForwardDecision Forwarder::decideNewFlow(const FlowContext& flow)
{
    const auto* const first = fleet::highestRankedPreferringLive(flow.hash, flow.service.servers, fleet::isRoutable);
    const bool firstIsAccepting = first && first->accepting();
    const auto* const server = firstIsAccepting ? first : fleet::highestRanked(flow.hash, flow.service.servers, fleet::acceptsNewFlows);
    if (!server)
        return drop(flow.service.servers.empty() ? ForwardReason::NoServer : ForwardReason::NoAcceptingServer);
    // Later packets of a TCP flow need no cache entry if its server is the first in rank order.
    if (flow.udp || !firstIsAccepting || cachesRankResult(flow.service))
        m_cache.store(flow.hash, cacheEntryFor(*server));
    else
        m_cache.erase(flow.hash);
    return forwardTo(*server, flow.table, ForwardReason::FirstAccepting, Route::opensFlow);
}

const fleet::ServerEntry* Forwarder::findCached(const FlowContext& flow)
{
    const auto entry = m_cache.find(flow.hash);
    if (!entry)
        return nullptr;
    const auto* server = flow.table.server(entry->serverId);
    // Flows of different services may have the same hash, so the service is compared too.
    const bool isValid = server && server->incarnation == entry->incarnation && server->serviceId == flow.service.id && !server->zoneOut;
    // In a large service the entry may come from rank order, so the server may not hold the flow. If that server is silent,
    // it is most likely dead, and the packet would be lost.
    if (isValid && !(server->silent && cachesRankResult(flow.service)))
        return server;
    m_cache.erase(flow.hash);
    return nullptr;
}

ForwardDecision Forwarder::decideExistingFlow(const FlowContext& flow)
{
    const auto* server = fleet::highestRankedPreferringLive(flow.hash, flow.service.servers, fleet::isRoutable);
    if (!server)
        return drop(ForwardReason::NoServer);
    if (cachesRankResult(flow.service))
        m_cache.store(flow.hash, cacheEntryFor(*server));
    return forwardTo(*server, flow.table, ForwardReason::FirstInRank, 0);
}

void Forwarder::learn(const FlowHolder& holder, const fleet::FleetTable& table)
{
    const auto* service = table.service(holder.key.service, holder.key.protocol);
    const auto* server = table.server(holder.serverId);
    if (!service || !server || server->serviceId != service->id || server->incarnation != holder.incarnation)
        return;
    m_cache.store(fleet::hash(holder.key, table.hashSeed()), { .serverId = holder.serverId, .incarnation = holder.incarnation });
}

} // namespace clementinesill::dataplane

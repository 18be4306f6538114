#include "dataplane/internal/forwarder.h"

#include "dataplane/iflowcache.h"
#include "dataplane/types/holder.h"
#include "dataplane/types/packetview.h"
#include "fleet/fleettable.h"
#include "fleet/serverrank.h"

namespace clementinesill::dataplane {

namespace {

// From this size on, ranking a service's servers costs more than a look-up in the flow cache.
constexpr std::size_t rememberedServiceSize = 32;

// Whether the flow cache also remembers places that rank order finds.
bool remembersRank(const fleet::ServiceEntry& service)
{
    return service.servers.size() >= rememberedServiceSize;
}

CachedServer placeAt(const fleet::ServerEntry& server)
{
    return { .serverId = server.id, .incarnation = server.incarnation };
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
    const bool udp = packet.key.protocol == fleet::TransportProtocol::Udp;
    const bool mayOpen = udp || packet.opensTcpFlow();
    const Flow flow { .service = *service, .table = table, .hash = fleet::hash(packet.key, table.hashSeed()), .udp = udp };
    if (const auto* server = cached(flow)) {
        if (!mayOpen)
            return sendTo(*server, table, ForwardReason::CacheHit, Route::fromCache);
        // A SYN sent again follows the first one, unless the server has stopped taking new flows since.
        if (server->accepting())
            return sendTo(*server, table, ForwardReason::CacheHit, Route::fromCache | Route::opensFlow);
        if (udp)
            return sendTo(*server, table, ForwardReason::CacheHit, Route::fromCache);
    }
    return mayOpen ? openFlow(flow) : continueFlow(flow);
}

ForwardDecision Forwarder::openFlow(const Flow& flow)
{
    const auto* const first = fleet::highestRankedPreferringLive(flow.hash, flow.service.servers, fleet::isRoutable);
    const bool firstAccepts = first && first->accepting();
    const auto* const server = firstAccepts ? first : fleet::highestRanked(flow.hash, flow.service.servers, fleet::acceptsNewFlows);
    if (!server)
        return drop(flow.service.servers.empty() ? ForwardReason::NoServer : ForwardReason::NoAcceptingServer);
    // Later packets of a TCP flow find the first server in rank order without the cache.
    if (flow.udp || !firstAccepts || remembersRank(flow.service))
        m_cache.store(flow.hash, placeAt(*server));
    else
        m_cache.erase(flow.hash);
    return sendTo(*server, flow.table, ForwardReason::FirstAccepting, Route::opensFlow);
}

const fleet::ServerEntry* Forwarder::cached(const Flow& flow)
{
    const auto entry = m_cache.find(flow.hash);
    if (!entry)
        return nullptr;
    const auto* server = flow.table.server(entry->serverId);
    // The service is compared because two flows of different services may share a hash.
    const bool usable = server && server->incarnation == entry->incarnation && server->serviceId == flow.service.id && !server->zoneOut;
    // In a large service the entry may be the rank's answer and no holder's; a silent server would then swallow the packet.
    if (usable && !(server->silent && remembersRank(flow.service)))
        return server;
    m_cache.erase(flow.hash);
    return nullptr;
}

ForwardDecision Forwarder::continueFlow(const Flow& flow)
{
    const auto* server = fleet::highestRankedPreferringLive(flow.hash, flow.service.servers, fleet::isRoutable);
    if (!server)
        return drop(ForwardReason::NoServer);
    if (remembersRank(flow.service))
        m_cache.store(flow.hash, placeAt(*server));
    return sendTo(*server, flow.table, ForwardReason::FirstInRank, 0);
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

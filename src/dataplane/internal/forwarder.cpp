#include "dataplane/internal/forwarder.h"

#include "dataplane/iflowcache.h"
#include "dataplane/types/holder.h"
#include "dataplane/types/packetview.h"
#include "fleet/fleettable.h"
#include "fleet/serverrank.h"

namespace clementinesill::dataplane {

namespace {

using ServerFilter = bool (*)(const fleet::ServerEntry&);

bool accepting(const fleet::ServerEntry& server) { return server.accepting(); }
bool reachable(const fleet::ServerEntry& server) { return !server.zoneOut; }

// Highest ranked server that passes the filter; null if there is none.
const fleet::ServerEntry* firstInRank(const fleet::ServiceEntry& service, std::uint64_t flowHash, ServerFilter filter)
{
    const fleet::ServerEntry* best = nullptr;
    double bestScore = 0;
    for (const auto& server : service.servers) {
        if (!filter(server))
            continue;
        const double score = fleet::rendezvousScore(flowHash, server);
        if (best && score <= bestScore)
            continue;
        best = &server;
        bestScore = score;
    }
    return best;
}

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
    const auto* server = firstInRank(service, flowHash, accepting);
    if (!server)
        return drop(service.servers.empty() ? ForwardReason::NoServer : ForwardReason::NoAcceptingServer);
    if (server != firstInRank(service, flowHash, reachable))
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
    const auto* server = firstInRank(service, flowHash, reachable);
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

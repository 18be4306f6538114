#include "passthrough/entryrouter.h"

#include "dataplane/iflowcache.h"
#include "dataplane/types/flowholder.h"
#include "fleet/fleettable.h"
#include "passthrough/types/flowpacket.h"
#include "passthrough/zonerank.h"

#include <array>

namespace clementinesill::passthrough {

std::string_view name(EntryReason reason)
{
    static constexpr std::array<std::string_view, entryReasonCount> names { "first_accepting", "next_accepting", "cache_hit", "first_in_rank", "no_link_budget", "batch_full", "no_table", "no_route", "no_server" };
    return names.at(static_cast<std::size_t>(reason));
}

EntryRouter::EntryRouter(dataplane::IFlowCache& cache, std::string zone)
    : m_cache(cache)
    , m_zone(std::move(zone))
{
}

EntryDecision EntryRouter::decide(const FlowPacket& packet, const fleet::FleetTable& table)
{
    if (!table.documentVersion())
        return { .action = EntryAction::Drop, .reason = EntryReason::NoTable };
    const auto* route = table.route(packet.key.service);
    const auto flowHash = fleet::hash(packet.key, table.hashSeed());
    // This table may lack a new route, so packets of established flows are dropped and only new flows are reset.
    if (!route)
        return { .action = packet.opensFlow() ? EntryAction::Reset : EntryAction::Drop, .reason = EntryReason::NoRoute };
    if (packet.opensFlow())
        return routeNewFlow(packet, table, flowHash);
    return routeExistingFlow(table, flowHash, route->serviceFor(flowHash));
}

EntryDecision EntryRouter::routeNewFlow(const FlowPacket& packet, const fleet::FleetTable& table, std::uint64_t flowHash)
{
    const auto* service = table.service(table.route(packet.key.service)->serviceFor(flowHash));
    std::vector<const fleet::ServerEntry*> accepting;
    if (service) {
        for (const auto* server : rankServersForZone(flowHash, service->servers, m_zone)) {
            if (server->accepting())
                accepting.push_back(server);
        }
    }
    if (accepting.empty())
        return { .action = EntryAction::Reset, .reason = EntryReason::NoServer };
    const auto index = packet.synRetransmissions() % accepting.size();
    const auto* server = accepting[index];
    m_cache.store(flowHash, { .serverId = server->id, .incarnation = server->incarnation });
    return { .action = EntryAction::Forward, .reason = index ? EntryReason::NextAccepting : EntryReason::FirstAccepting, .server = server, .opensFlow = true };
}

EntryDecision EntryRouter::routeExistingFlow(const fleet::FleetTable& table, std::uint64_t flowHash, std::uint32_t serviceId)
{
    if (const auto cached = m_cache.find(flowHash)) {
        const auto* server = table.server(cached->serverId);
        if (server && server->incarnation == cached->incarnation)
            return { .action = EntryAction::Forward, .reason = EntryReason::CacheHit, .server = server, .fromCache = true };
        m_cache.erase(flowHash);
    }
    const auto* service = table.service(serviceId);
    if (!service || service->servers.empty())
        return { .action = EntryAction::Drop, .reason = EntryReason::NoServer };
    return { .action = EntryAction::Forward, .reason = EntryReason::FirstInRank, .server = rankServersForZone(flowHash, service->servers, m_zone).front() };
}

void EntryRouter::learn(const dataplane::FlowHolder& holder, const fleet::FleetTable& table)
{
    const auto* server = table.server(holder.serverId);
    if (server && server->incarnation == holder.incarnation)
        m_cache.store(fleet::hash(holder.key, table.hashSeed()), { .serverId = holder.serverId, .incarnation = holder.incarnation });
}

} // namespace clementinesill::passthrough

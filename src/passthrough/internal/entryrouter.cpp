#include "passthrough/entryrouter.h"

#include "dataplane/iflowcache.h"
#include "dataplane/types/flowholder.h"
#include "fleet/fleettable.h"
#include "passthrough/internal/lowestranked.h"
#include "passthrough/internal/placementkey.h"
#include "passthrough/serverloadview.h"
#include "passthrough/types/flowpacket.h"

#include <algorithm>
#include <array>
#include <boost/container/static_vector.hpp>
#include <optional>

namespace clementinesill::passthrough {

namespace {

EntryDecision reset(EntryReason reason) { return { .action = EntryAction::Reset, .reason = reason }; }

EntryDecision place(const fleet::ServerEntry& server, EntryReason reason)
{
    return { .action = EntryAction::Forward, .reason = reason, .server = &server, .opensFlow = true };
}

// The flow may have been opened when the route had another target, so its search may start anywhere.
const fleet::ServiceEntry* anyServiceWithServers(const fleet::FleetTable& table)
{
    const auto& services = table.services();
    const auto found = std::find_if(services.begin(), services.end(), [](const auto& service) { return !service.servers.empty(); });
    return found == services.end() ? nullptr : &*found;
}

} // namespace

std::string_view name(EntryReason reason)
{
    static constexpr std::array<std::string_view, entryReasonCount> names { "first_accepting", "next_accepting", "cache_hit", "first_in_rank", "no_link_budget", "batch_full", "no_table", "no_route", "no_server", "least_loaded", "service_full" };
    return names.at(static_cast<std::size_t>(reason));
}

EntryRouter::EntryRouter(dataplane::IFlowCache& cache, std::string zone, ServerLoadView* loadView)
    : m_cache(cache)
    , m_zone(std::move(zone))
    , m_loadView(loadView)
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
        return routeNewFlow(packet, *route, table, flowHash);
    return routeExistingFlow(table, flowHash, route->serviceFor(flowHash));
}

EntryDecision EntryRouter::routeNewFlow(const FlowPacket& packet, const fleet::RouteEntry& route, const fleet::FleetTable& table, std::uint64_t flowHash)
{
    const auto* service = table.service(route.serviceFor(flowHash));
    if (!service)
        return reset(EntryReason::NoServer);
    const auto retransmissions = std::min<std::uint32_t>(packet.synRetransmissions(), FlowPacket::synTransmitTimes.size() - 1);
    const bool wasForwarded = retransmissions && !m_rejections.contains(flowHash);
    const auto* previous = m_loadView && wasForwarded ? cachedServer(table, flowHash) : nullptr;
    if (previous)
        m_loadView->recordUnanswered(previous->id);
    const bool placesByLoad = m_loadView && !m_loadView->empty();
    const auto decision = placesByLoad ? placeByLoad(*service, route, flowHash, retransmissions, previous) : placeByRank(*service, flowHash, retransmissions);
    if (decision.reason == EntryReason::ServiceFull)
        m_rejections.record(flowHash);
    if (!decision.server)
        return decision;
    if (placesByLoad)
        m_loadView->recordPlacement(decision.server->id);
    m_rejections.erase(flowHash);
    m_cache.store(flowHash, { .serverId = decision.server->id, .incarnation = decision.server->incarnation });
    return decision;
}

void EntryRouter::withdraw(const FlowPacket& packet, const fleet::FleetTable& table, bool reset)
{
    const auto flowHash = fleet::hash(packet.key, table.hashSeed());
    // Otherwise the caller's retransmission would mark a server as unanswered to which nothing was sent.
    m_cache.erase(flowHash);
    if (reset)
        m_rejections.record(flowHash);
}

// A retransmitted SYN goes to the next server in the order, since the one before did not respond in time.
EntryDecision EntryRouter::placeByRank(const fleet::ServiceEntry& service, std::uint64_t flowHash, std::uint32_t retransmissions) const
{
    boost::container::static_vector<const fleet::ServerEntry*, FlowPacket::synTransmitTimes.size()> ranking;
    const auto key = [&](const fleet::ServerEntry& server) -> std::optional<unsigned> {
        if (!server.accepting() || std::find(ranking.begin(), ranking.end(), &server) != ranking.end())
            return std::nullopt;
        return server.zone != m_zone;
    };
    while (ranking.size() <= retransmissions) {
        const auto* server = lowestRanked(flowHash, service.servers, key);
        if (!server)
            break;
        ranking.push_back(server);
    }
    if (ranking.empty())
        return reset(EntryReason::NoServer);
    const auto index = retransmissions % ranking.size();
    return place(*ranking[index], index ? EntryReason::NextAccepting : EntryReason::FirstAccepting);
}

// Answers load beyond what the servers in the callers' zone, or all servers, can take: new flows go to servers with room first,
// and are rejected here rather than after a walk over the agents if no server has any for their priority. previous is the
// server to which an earlier transmission of the SYN was sent; null if unknown.
EntryDecision EntryRouter::placeByLoad(const fleet::ServiceEntry& service, const fleet::RouteEntry& route, std::uint64_t flowHash, std::uint32_t retransmissions, const fleet::ServerEntry* previous) const
{
    // A service's servers are sorted by id.
    ServerLoadView::Lookup lookup(*m_loadView, route.priority);
    bool anyAccepting = false;
    bool anyFull = false;
    bool previousAccepts = false;
    const auto key = [&](const fleet::ServerEntry& server) -> std::optional<unsigned> {
        if (!server.accepting())
            return std::nullopt;
        anyAccepting = true;
        const auto load = lookup.load(server.id);
        anyFull = anyFull || load.full;
        previousAccepts = previousAccepts || &server == previous;
        if (load.full || &server == previous)
            return std::nullopt;
        return placementKey(load, server.zone != m_zone, route.kind);
    };
    const auto* server = lowestRanked(flowHash, service.servers, key);
    if (!anyAccepting)
        return reset(EntryReason::NoServer);
    if (server && mayPlace(m_loadView->load(server->id, route.priority, m_loadView->now()), anyFull))
        return place(*server, retransmissions ? EntryReason::NextAccepting : EntryReason::LeastLoaded);
    // A reset says that nothing has run, so a SYN that may have reached a server is not reset here.
    const bool mayHaveBeenForwarded = retransmissions && !m_rejections.contains(flowHash);
    if (anyFull && !mayHaveBeenForwarded)
        return reset(EntryReason::ServiceFull);
    return previousAccepts ? place(*previous, EntryReason::NextAccepting) : placeByRank(service, flowHash, retransmissions);
}

const fleet::ServerEntry* EntryRouter::cachedServer(const fleet::FleetTable& table, std::uint64_t flowHash) const
{
    const auto cached = m_cache.find(flowHash);
    const auto* server = cached ? table.server(cached->serverId) : nullptr;
    return server && server->incarnation == cached->incarnation ? server : nullptr;
}

EntryDecision EntryRouter::routeExistingFlow(const fleet::FleetTable& table, std::uint64_t flowHash, std::uint32_t serviceId)
{
    if (const auto* server = cachedServer(table, flowHash))
        return { .action = EntryAction::Forward, .reason = EntryReason::CacheHit, .server = server, .fromCache = true };
    m_cache.erase(flowHash);
    const auto* service = table.service(serviceId);
    if (!service || service->servers.empty())
        service = anyServiceWithServers(table);
    if (!service)
        return { .action = EntryAction::Drop, .reason = EntryReason::NoServer };
    const auto key = [&](const fleet::ServerEntry& server) -> std::optional<unsigned> { return (server.silent ? 2U : 0U) + (server.zone != m_zone ? 1U : 0U); };
    return { .action = EntryAction::Forward, .reason = EntryReason::FirstInRank, .server = lowestRanked(flowHash, service->servers, key) };
}

void EntryRouter::learn(const dataplane::FlowHolder& holder, const fleet::FleetTable& table)
{
    const auto* server = table.server(holder.serverId);
    if (m_loadView)
        m_loadView->recordAnswer(holder.serverId);
    if (server && server->incarnation == holder.incarnation)
        m_cache.store(fleet::hash(holder.key, table.hashSeed()), { .serverId = holder.serverId, .incarnation = holder.incarnation });
}

} // namespace clementinesill::passthrough

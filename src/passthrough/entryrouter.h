#pragma once

#include "passthrough/recentrejections.h"
#include "passthrough/types/entrydecision.h"

#include <string>

namespace clementinesill::dataplane {
class IFlowCache;
struct FlowHolder;
} // namespace clementinesill::dataplane

namespace clementinesill::fleet {
class FleetTable;
struct RouteEntry;
struct ServiceEntry;
} // namespace clementinesill::fleet

namespace clementinesill::passthrough {

class ServerLoadView;
struct FlowPacket;

// Decides to which agent a balancer forwards a caller's packet. Holds no state that must survive a restart: the agents search
// for flows that are not in the cache or were opened through another balancer.
class EntryRouter {
public:
    // The cache and the view must outlive the router. zone is the zone of the balancer and of its callers. Without a view, new
    // flows are placed by zone and rank only.
    EntryRouter(dataplane::IFlowCache& cache, std::string zone, ServerLoadView* loadView = nullptr);

    EntryDecision decide(const FlowPacket& packet, const fleet::FleetTable& table);

    // Takes back the placement of a SYN that was not forwarded; reset says whether the caller was told so.
    void withdraw(const FlowPacket& packet, const fleet::FleetTable& table, bool reset);

    // Caches the server that holds a flow, as reported by an agent.
    void learn(const dataplane::FlowHolder& holder, const fleet::FleetTable& table);

private:
    EntryDecision routeNewFlow(const FlowPacket& packet, const fleet::RouteEntry& route, const fleet::FleetTable& table, std::uint64_t flowHash);
    EntryDecision placeByRank(const fleet::ServiceEntry& service, std::uint64_t flowHash, std::uint32_t retransmissions) const;
    EntryDecision placeByLoad(const fleet::ServiceEntry& service, const fleet::RouteEntry& route, std::uint64_t flowHash, std::uint32_t retransmissions, const fleet::ServerEntry* previous) const;
    const fleet::ServerEntry* cachedServer(const fleet::FleetTable& table, std::uint64_t flowHash) const;
    EntryDecision routeExistingFlow(const fleet::FleetTable& table, std::uint64_t flowHash, std::uint32_t serviceId);

    dataplane::IFlowCache& m_cache;
    std::string m_zone;
    ServerLoadView* m_loadView;
    RecentRejections m_rejections;
};

} // namespace clementinesill::passthrough

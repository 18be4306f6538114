#pragma once

#include "passthrough/types/entrydecision.h"

#include <string>

namespace clementinesill::dataplane {
class IFlowCache;
struct FlowHolder;
} // namespace clementinesill::dataplane

namespace clementinesill::fleet {
class FleetTable;
}

namespace clementinesill::passthrough {

struct FlowPacket;

// Decides to which agent a balancer forwards a caller's packet. Holds no state that must survive a restart: the agents search
// for flows that are not in the cache or were opened through another balancer.
class EntryRouter {
public:
    // The cache must outlive the router. zone is the zone of the balancer and of its callers.
    EntryRouter(dataplane::IFlowCache& cache, std::string zone);

    EntryDecision decide(const FlowPacket& packet, const fleet::FleetTable& table);

    // Caches the server that holds a flow, as reported by an agent.
    void learn(const dataplane::FlowHolder& holder, const fleet::FleetTable& table);

private:
    EntryDecision routeNewFlow(const FlowPacket& packet, const fleet::FleetTable& table, std::uint64_t flowHash);
    EntryDecision routeExistingFlow(const fleet::FleetTable& table, std::uint64_t flowHash, std::uint32_t serviceId);

    dataplane::IFlowCache& m_cache;
    std::string m_zone;
};

} // namespace clementinesill::passthrough

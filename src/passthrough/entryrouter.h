#pragma once

#include "passthrough/types/entrydecision.h"

#include <string>

namespace clementinesill::dataplane {
class IFlowCache;
struct Holder;
} // namespace clementinesill::dataplane

namespace clementinesill::fleet {
class FleetTable;
}

namespace clementinesill::passthrough {

struct FlowPacket;

// Decides to which agent a balancer sends a caller's packet. Keeps nothing that must survive: what the cache has forgotten,
// or another balancer has placed, the agents find.
class EntryRouter {
public:
    // The cache must outlive the router. zone is the balancer's own, and so the callers'.
    EntryRouter(dataplane::IFlowCache& cache, std::string zone);

    EntryDecision decide(const FlowPacket& packet, const fleet::FleetTable& table);

    // Takes in what an agent says about a flow's place.
    void learn(const dataplane::Holder& holder, const fleet::FleetTable& table);

private:
    EntryDecision open(const FlowPacket& packet, const fleet::FleetTable& table, std::uint64_t flowHash);
    EntryDecision follow(const fleet::FleetTable& table, std::uint64_t flowHash, std::uint32_t serviceId);

    dataplane::IFlowCache& m_cache;
    std::string m_zone;
};

} // namespace clementinesill::passthrough

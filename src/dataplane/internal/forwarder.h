#pragma once

#include "dataplane/iforwarder.h"

namespace clementinesill::fleet {
struct ServerEntry;
struct ServiceEntry;
} // namespace clementinesill::fleet

namespace clementinesill::dataplane {

class IFlowCache;

// Selects servers by rank order, except for flows whose server is in the flow cache.
class Forwarder final : public IForwarder {
public:
    // The cache must outlive the forwarder.
    explicit Forwarder(IFlowCache& cache);

    ForwardDecision decide(const PacketView& packet, const fleet::FleetTable& table) override;
    void learn(const FlowHolder& holder, const fleet::FleetTable& table) override;

private:
    // Flow of the packet to forward, and its service in the table.
    struct FlowContext {
        const fleet::ServiceEntry& service;
        const fleet::FleetTable& table;
        std::uint64_t hash;
        bool udp;
    };

    ForwardDecision decideNewFlow(const FlowContext& flow);
    ForwardDecision decideExistingFlow(const FlowContext& flow);
    // Server of the flow's cache entry, or null. Erases an entry that is no longer valid.
    const fleet::ServerEntry* findCached(const FlowContext& flow);

    IFlowCache& m_cache;
};

} // namespace clementinesill::dataplane

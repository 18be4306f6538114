#pragma once

#include "dataplane/iforwarder.h"

namespace clementinesill::fleet {
struct ServerEntry;
struct ServiceEntry;
} // namespace clementinesill::fleet

namespace clementinesill::dataplane {

class IFlowCache;

// Rank order corrected by the flow cache.
class Forwarder final : public IForwarder {
public:
    // The cache must outlive the forwarder.
    explicit Forwarder(IFlowCache& cache);

    ForwardDecision forward(const PacketView& packet, const fleet::FleetTable& table) override;
    void learn(const Holder& holder, const fleet::FleetTable& table) override;

private:
    // One packet's flow, and what the table says of its service.
    struct Flow {
        const fleet::ServiceEntry& service;
        const fleet::FleetTable& table;
        std::uint64_t hash;
        bool udp;
    };

    ForwardDecision openFlow(const Flow& flow);
    ForwardDecision continueFlow(const Flow& flow);
    const fleet::ServerEntry* cached(const Flow& flow);

    IFlowCache& m_cache;
};

} // namespace clementinesill::dataplane

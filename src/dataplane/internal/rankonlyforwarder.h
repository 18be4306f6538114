#pragma once

#include "dataplane/internal/forwarder.h"
#include "dataplane/internal/noflowcache.h"

namespace clementinesill::dataplane {

// Baseline for benchmarks: rank order without a flow cache.
class RankOnlyForwarder final : public IForwarder {
public:
    ForwardDecision decide(const PacketView& packet, const fleet::FleetTable& table) override { return m_forwarder.decide(packet, table); }
    void learn(const FlowHolder&, const fleet::FleetTable&) override { }

private:
    NoFlowCache m_cache;
    Forwarder m_forwarder { m_cache };
};

} // namespace clementinesill::dataplane

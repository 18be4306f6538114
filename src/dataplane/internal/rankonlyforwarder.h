#pragma once

#include "dataplane/internal/forwarder.h"
#include "dataplane/internal/noflowcache.h"

namespace clementinesill::dataplane {

// Baseline for measurements: rank order without a flow cache.
class RankOnlyForwarder final : public IForwarder {
public:
    ForwardDecision forward(const PacketView& packet, const fleet::FleetTable& table) override { return m_forwarder.forward(packet, table); }
    void learn(const Holder&, const fleet::FleetTable&) override { }

private:
    NoFlowCache m_cache;
    Forwarder m_forwarder { m_cache };
};

} // namespace clementinesill::dataplane

#pragma once

#include "dataplane/iforwarder.h"

#include <atomic>
#include <cstddef>

namespace clementinesill::dataplane {

// Baseline for benchmarks: forwards each packet to the next server that accepts new flows.
class RoundRobinForwarder final : public IForwarder {
public:
    ForwardDecision decide(const PacketView& packet, const fleet::FleetTable& table) override;
    void learn(const FlowHolder&, const fleet::FleetTable&) override { }

private:
    std::atomic<std::size_t> m_next { 0 };
};

} // namespace clementinesill::dataplane

#pragma once

#include "dataplane/iforwarder.h"

#include <atomic>
#include <cstddef>

namespace clementinesill::dataplane {

// Baseline for measurements: each packet goes to the next server that takes new flows.
class RoundRobinForwarder final : public IForwarder {
public:
    ForwardDecision forward(const PacketView& packet, const fleet::FleetTable& table) override;
    void learn(const Holder&, const fleet::FleetTable&) override { }

private:
    std::atomic<std::size_t> m_next { 0 };
};

} // namespace clementinesill::dataplane

#pragma once

#include "dataplane/types/forwarddecision.h"

namespace clementinesill::fleet {
class FleetTable;
}

namespace clementinesill::dataplane {

struct FlowHolder;
struct PacketView;

// Decides to which agent a balancer sends a packet from the fabric. Does not allocate. Thread-safe.
class IForwarder {
public:
    virtual ~IForwarder() = default;

    // ingress and balancer in the decision's route are left for the calling code to set.
    virtual ForwardDecision decide(const PacketView& packet, const fleet::FleetTable& table) = 0;

    // Caches the server that holds a flow, as reported by an agent.
    virtual void learn(const FlowHolder& holder, const fleet::FleetTable& table) = 0;
};

} // namespace clementinesill::dataplane

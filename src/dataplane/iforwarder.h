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

    // Leaves ingress and balancer in the decision's route unset; the calling code sets them.
    virtual ForwardDecision decide(const PacketView& packet, const fleet::FleetTable& table) = 0;

    // Caches the server that holds a flow, as reported by an agent. Ignored if the table does not have the server in the flow's
    // service with the same incarnation.
    virtual void learn(const FlowHolder& holder, const fleet::FleetTable& table) = 0;
};

} // namespace clementinesill::dataplane

#pragma once

#include "dataplane/types/forwarddecision.h"

namespace clementinesill::fleet {
class FleetTable;
}

namespace clementinesill::dataplane {

struct Holder;
struct PacketView;

// Decides to which agent a balancer sends a packet from the fabric. Does not allocate. Thread-safe.
class IForwarder {
public:
    virtual ~IForwarder() = default;

    // The decision's route lacks the ingress and the balancer, which the caller knows.
    virtual ForwardDecision forward(const PacketView& packet, const fleet::FleetTable& table) = 0;

    // Takes in what an agent says about a flow's place.
    virtual void learn(const Holder& holder, const fleet::FleetTable& table) = 0;
};

} // namespace clementinesill::dataplane

#pragma once

#include "agent/types/flowdecision.h"

namespace clementinesill::dataplane {
struct GeneveMessage;
struct PacketView;
} // namespace clementinesill::dataplane

namespace clementinesill::fleet {
class FleetTable;
}

namespace clementinesill::agent {

// Decides what an agent does with a packet that reached it. Confined to the agent's loop.
class IFlowRouter {
public:
    virtual ~IFlowRouter() = default;

    // Updates the flow table as decided. For PassOn the caller adds this server to the visited list and counts the hop.
    virtual FlowDecision decide(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const fleet::FleetTable& table) = 0;
};

} // namespace clementinesill::agent

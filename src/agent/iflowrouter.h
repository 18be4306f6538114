#pragma once

#include "agent/types/flowdecision.h"

namespace clementinesill::dataplane {
struct GeneveMessage;
struct PacketView;
} // namespace clementinesill::dataplane

namespace clementinesill::agent {

struct TableView;

// Decides what an agent does with a packet that it receives. Confined to the agent's event loop.
class IFlowRouter {
public:
    virtual ~IFlowRouter() = default;

    // Updates the flow table. If the action is Forward, the caller must readdress the message with addressNextHop.
    virtual FlowDecision decide(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view) = 0;

    // Rejects new flows while set; existing flows continue.
    virtual void setShuttingDown(bool shuttingDown) = 0;
};

} // namespace clementinesill::agent

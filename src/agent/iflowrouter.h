#pragma once

#include "agent/types/flowdecision.h"

namespace clementinesill::dataplane {
struct GeneveMessage;
struct PacketView;
} // namespace clementinesill::dataplane

namespace clementinesill::agent {

struct TableView;

// Decides what an agent does with a packet that reached it. Confined to the agent's loop.
class IFlowRouter {
public:
    virtual ~IFlowRouter() = default;

    // Updates the flow table as decided. For PassOn the message is addressed by addressNextHop.
    virtual FlowDecision decide(const dataplane::GeneveMessage& message, const dataplane::PacketView& packet, const TableView& view) = 0;

    // Takes no new flow while leaving is set; flows that are held stay.
    virtual void setLeaving(bool leaving) = 0;
};

} // namespace clementinesill::agent

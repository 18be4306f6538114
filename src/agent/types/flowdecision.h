#pragma once

#include "dataplane/types/route.h"
#include "fleet/types/flowkey.h"

#include <boost/container/static_vector.hpp>
#include <string_view>

namespace clementinesill::agent {

enum class FlowAction {
    // Pass the packet to the transport stack.
    Deliver,
    // Accept the new flow and pass the packet to the transport stack.
    Open,
    // Forward the packet to the agent of the server in nextServerId.
    Forward,
    // Send a TCP reset to the caller.
    Reset,
    Drop,
};

enum class FlowReason {
    FlowHeld,
    // Held here, although the packet is addressed to another incarnation or another server at this endpoint.
    HeldForOtherTarget,
    // A SYN of a flow that is held: a retransmission, or any SYN if the flow is established.
    SynRetransmission,
    Admitted,
    // Every server rejected the flow; it is accepted so that its requests get an error response with a retry time.
    AdmittedToReject,
    // The caller opens a new connection from the same port.
    PortReused,
    // Not held here; another server has not been visited yet.
    NotHeld,
    // This server rejects the new flow; another may accept it.
    NotAdmitted,
    // Every server was visited and none holds the flow.
    HolderNotFound,
    // Every server was visited and none accepts the flow.
    RejectedByAllServers,
    // The sender has a newer table, which may contain a server that was not visited.
    TableStale,
    // No controller has confirmed the table since the flow was first looked up without success.
    TableUnconfirmed,
    // The service has more servers than one packet may visit.
    SearchIncomplete,
    WrongService,
    WrongIncarnation,
    ZoneOut,
    HopLimitReached,
    // A reset for a flow that is not held; it must not trigger another reset.
    ResetForUnknownFlow,
    // A delayed duplicate of the SYN of a closed connection.
    StaleSyn,
};

std::string_view name(FlowAction action);
std::string_view name(FlowReason reason);

// The action that an agent takes for a packet, and the reason.
struct FlowDecision {
    FlowAction action = FlowAction::Drop;
    FlowReason reason = FlowReason::WrongService;
    // For Forward: the target.
    Endpoint nextAgent;
    std::uint32_t nextServerId = 0;
    std::uint32_t nextIncarnation = 0;
    // For Forward: no server holds the flow; the next server may open it.
    bool searchEnded = false;
    // Flows whose connections the transport stack must drop, without sending a packet, before the action is taken.
    boost::container::static_vector<fleet::FlowKey, 2> connectionsToForget;
};

} // namespace clementinesill::agent

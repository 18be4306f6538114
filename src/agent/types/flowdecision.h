#pragma once

#include "dataplane/types/route.h"
#include "fleet/types/flowkey.h"

#include <boost/container/static_vector.hpp>
#include <string_view>

namespace clementinesill::agent {

enum class FlowAction {
    // Give the packet to the transport stack.
    Deliver,
    // Take the new flow and give the packet to the transport stack.
    Open,
    // Send the packet on to the server that the decision names.
    PassOn,
    // Tell the caller that nobody holds the flow.
    Reset,
    Drop,
};

enum class FlowReason {
    Held,
    // Held, although the sender addressed another incarnation or server at this endpoint.
    HeldDespiteAddress,
    RepeatedSyn,
    Admitted,
    // Every server refused the flow; it is taken so that its requests are told when to come back.
    AdmittedToRefuse,
    // The caller opens the flow again from the same port.
    PortReused,
    // Not held here, and another server was not asked yet.
    NotHeld,
    // This server takes no new flow; another may.
    NotAdmitted,
    // Every server was asked and none holds the flow.
    HeldByNobody,
    // Every server was asked and none takes the flow.
    AdmittedByNobody,
    // The sender knows a newer table, so that a server may exist which was not asked.
    TableTooOld,
    // No controller has confirmed the table since the flow was missed first.
    TableUnconfirmed,
    // The service has more servers than a chain may visit.
    SearchBounded,
    WrongService,
    WrongIncarnation,
    ZoneOut,
    TooManyHops,
    // A reset is not answered with a reset.
    ResetNotHeld,
    // An old copy of the SYN of a connection that has ended.
    StaleSyn,
};

std::string_view name(FlowAction action);
std::string_view name(FlowReason reason);

// What an agent does with a packet and why.
struct FlowDecision {
    FlowAction action = FlowAction::Drop;
    FlowReason reason = FlowReason::WrongService;
    // For PassOn.
    Endpoint nextAgent;
    std::uint32_t nextServerId = 0;
    std::uint32_t nextIncarnation = 0;
    // For PassOn: the search for a holder has ended, and the next server may open the flow.
    bool searchEnded = false;
    // Flows whose connections the transport stack must forget, without a packet, before anything else is done.
    boost::container::static_vector<fleet::FlowKey, 2> forgotten;
};

} // namespace clementinesill::agent

#pragma once

#include "dataplane/types/route.h"

#include <string_view>

namespace clementinesill::agent {

enum class FlowAction {
    // Give the packet to the TCP stack.
    Deliver,
    // Take the new flow and give the packet to the TCP stack.
    Open,
    // Send the packet on to the server that the decision names.
    PassOn,
    // Tell the caller that nobody holds the flow.
    Reset,
    Drop,
};

enum class FlowReason {
    Held,
    RepeatedSyn,
    Admitted,
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
    WrongService,
    WrongIncarnation,
    ZoneOut,
    TooManyHops,
    // A reset is not answered with a reset.
    ResetNotHeld,
};

std::string_view name(FlowReason reason);

// What an agent does with a packet and why.
struct FlowDecision {
    FlowAction action = FlowAction::Drop;
    FlowReason reason = FlowReason::WrongService;
    // For PassOn.
    Endpoint nextAgent;
    std::uint32_t nextServerId = 0;
    std::uint32_t nextIncarnation = 0;
};

} // namespace clementinesill::agent

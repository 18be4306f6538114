#pragma once

#include "foundation/types/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace clementinesill::passthrough {

enum class RelayAction {
    // Deliver the packet to the server, which holds the flow.
    Deliver,
    // Accept the new flow and deliver the packet to the server, which may bounce it.
    Open,
    // Deliver the packet to the server, which may hold the flow or bounce the packet.
    Probe,
    // Forward the packet to the agent that the decision names.
    Forward,
    // Tell the caller that the flow is not open.
    Reset,
    Drop,
    // Hold the SYN of the new flow until the server has room for it.
    Wait,
};

enum class RelayReason {
    FlowHeld,
    SynRetransmission,
    Admitted,
    // The server has no free slot, but no other server can be visited and the queueing delay is acceptable.
    AdmittedToQueue,
    // The flow may have been opened before this agent started.
    AgentRecentlyStarted,
    NotHeld,
    // Reasons for not accepting a new flow here.
    NoServer,
    ServerSilent,
    Draining,
    ZoneOut,
    ColdStart,
    Busy,
    // The packet is for another service, server or incarnation.
    WrongTarget,
    Bounced,
    // No other server that accepts new flows can be visited.
    RejectedByAllServers,
    // Every server was visited and none holds the flow.
    HolderNotFound,
    // The server that holds the flow is silent and presumed dead.
    ServerDead,
    NoRoute,
    // The sender has a newer table, or agents whose tables lack a server forwarded the packet, so it may have been missed.
    TableStale,
    // The leader has not confirmed the table since the flow was first not found, or a server in it was not visited.
    TableUnconfirmed,
    HopLimitReached,
    // This agent has started as many long searches as its budget allows.
    SearchBudgetSpent,
    // A caller's reset for a flow that is not held; it must not trigger another reset.
    ResetForUnknownFlow,
    // The SYN waits at the agent for a slot.
    WaitsForSlot,
    // A waiting SYN was admitted.
    AdmittedAfterWait,
    // A waiting SYN made room for those that go before it.
    Displaced,
    // A SYN has waited for as long as it may.
    WaitExpired,
    // A retransmission of a SYN that waits here.
    AlreadyWaiting,
    // A retransmitted SYN found no free slot. It is not reset, since a server that was not visited may have received an earlier
    // copy.
    RetransmissionNotPlaced,
    // The server ends too many requests without a response.
    ServerFailing,
};
constexpr std::size_t relayReasonCount = 30;

std::string_view name(RelayAction action);
std::string_view name(RelayReason reason);

// What an agent does with a packet, and why.
struct RelayDecision {
    RelayAction action = RelayAction::Drop;
    RelayReason reason = RelayReason::WrongTarget;
    // For a SYN that is not admitted here: the reason; otherwise, and for NoRoute, Admitted.
    RelayReason rejectReason = RelayReason::Admitted;
    // For Forward.
    Endpoint nextAgent;
    std::uint32_t nextServerId = 0;
    std::uint32_t nextIncarnation = 0;
    std::uint32_t nextServiceId = 0;
};

} // namespace clementinesill::passthrough

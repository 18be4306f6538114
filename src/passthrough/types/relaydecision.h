#pragma once

#include "foundation/types/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace clementinesill::passthrough {

enum class RelayAction {
    // Give the packet to the server of a held flow.
    Deliver,
    // Take the new flow and give the packet to the server; the server may hand it back.
    Open,
    // Give the packet to the server, which may hold the flow or hand the packet back.
    Ask,
    // Send the packet on to the agent that the decision names.
    PassOn,
    // Tell the caller that the flow is not open.
    Reset,
    Drop,
};

enum class RelayReason {
    Held,
    RepeatedOpening,
    Admitted,
    // Every other server was asked; the wait here is still worth it.
    AdmittedLast,
    // This agent may be younger than the flow.
    AgentYoung,
    NotHeld,
    // Why a new flow is not taken here.
    NoServer,
    ServerSilent,
    Draining,
    ZoneOut,
    Cold,
    Busy,
    WrongService,
    HandedBack,
    // Every server was asked.
    TakenByNobody,
    HeldByNobody,
    // The server that held the flow is dead.
    ServerDead,
    NoRoute,
    // Not proved yet that nobody holds the flow.
    TableTooOld,
    TableUnconfirmed,
    SearchBounded,
    ResetNotHeld,
};
constexpr std::size_t relayReasons = 22;

std::string_view name(RelayAction action);
std::string_view name(RelayReason reason);

// What an agent does with a packet and why.
struct RelayDecision {
    RelayAction action = RelayAction::Drop;
    RelayReason reason = RelayReason::WrongService;
    // For an opening packet that is not taken here: why not; Admitted otherwise.
    RelayReason obstacle = RelayReason::Admitted;
    // For PassOn.
    Endpoint nextAgent;
    std::uint32_t nextServerId = 0;
    std::uint32_t nextIncarnation = 0;
    std::uint32_t nextServiceId = 0;
};

} // namespace clementinesill::passthrough

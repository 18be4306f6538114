#include "passthrough/types/relaydecision.h"

#include <array>

namespace clementinesill::passthrough {

std::string_view name(RelayAction action)
{
    static constexpr std::array<std::string_view, 7> names { "deliver", "open", "ask", "pass_on", "reset", "drop", "wait" };
    return names.at(static_cast<std::size_t>(action));
}

std::string_view name(RelayReason reason)
{
    static constexpr std::array<std::string_view, relayReasonCount> names {
        "held",
        "repeated_opening",
        "admitted",
        "admitted_last",
        "agent_young",
        "not_held",
        "no_server",
        "server_silent",
        "draining",
        "zone_out",
        "cold",
        "busy",
        "wrong_service",
        "handed_back",
        "taken_by_nobody",
        "held_by_nobody",
        "server_dead",
        "no_route",
        "table_too_old",
        "table_unconfirmed",
        "search_bounded",
        "search_budget_spent",
        "reset_not_held",
        "waits_for_slot",
        "admitted_after_wait",
        "displaced",
        "wait_expired",
        "already_waiting",
        "retransmission_not_placed",
        "server_failing",
    };
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace clementinesill::passthrough

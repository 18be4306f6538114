#include "agent/types/flowdecision.h"

#include <array>

namespace clementinesill::agent {

namespace {

// In the order of FlowReason.
constexpr std::array<std::string_view, 20> reasonNames {
    "held",
    "held_despite_address",
    "repeated_syn",
    "admitted",
    "admitted_to_refuse",
    "port_reused",
    "not_held",
    "not_admitted",
    "held_by_nobody",
    "admitted_by_nobody",
    "table_too_old",
    "table_unconfirmed",
    "search_bounded",
    "wrong_service",
    "wrong_incarnation",
    "zone_out",
    "too_many_hops",
    "reset_not_held",
    "stale_syn",
    "unknown",
};

} // namespace

std::string_view name(FlowAction action)
{
    switch (action) {
    case FlowAction::Deliver:
        return "deliver";
    case FlowAction::Open:
        return "open";
    case FlowAction::Forward:
        return "pass_on";
    case FlowAction::Reset:
        return "reset";
    case FlowAction::Drop:
        return "drop";
    }
    return "unknown";
}

std::string_view name(FlowReason reason)
{
    const auto index = static_cast<std::size_t>(reason);
    return index < reasonNames.size() ? reasonNames[index] : reasonNames.back();
}

} // namespace clementinesill::agent

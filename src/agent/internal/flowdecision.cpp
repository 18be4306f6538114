#include "agent/types/flowdecision.h"

namespace clementinesill::agent {

std::string_view name(FlowReason reason)
{
    switch (reason) {
    case FlowReason::Held:
        return "held";
    case FlowReason::RepeatedSyn:
        return "repeated_syn";
    case FlowReason::Admitted:
        return "admitted";
    case FlowReason::NotHeld:
        return "not_held";
    case FlowReason::NotAdmitted:
        return "not_admitted";
    case FlowReason::HeldByNobody:
        return "held_by_nobody";
    case FlowReason::AdmittedByNobody:
        return "admitted_by_nobody";
    case FlowReason::TableTooOld:
        return "table_too_old";
    case FlowReason::WrongService:
        return "wrong_service";
    case FlowReason::WrongIncarnation:
        return "wrong_incarnation";
    case FlowReason::ZoneOut:
        return "zone_out";
    case FlowReason::TooManyHops:
        return "too_many_hops";
    case FlowReason::ResetNotHeld:
        return "reset_not_held";
    }
    return "unknown";
}

} // namespace clementinesill::agent

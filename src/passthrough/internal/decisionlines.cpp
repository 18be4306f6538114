#include "passthrough/internal/decisionlines.h"

#include "fleet/fleettable.h"
#include "foundation/log.h"
#include "passthrough/types/entrydecision.h"
#include "passthrough/types/flowpacket.h"
#include "passthrough/types/relaydecision.h"
#include "passthrough/types/relayinputs.h"
#include "passthrough/types/search.h"

#include <vector>

namespace clementinesill::passthrough {

namespace {

// How a decision is called in the log.
struct LineKind {
    std::string_view event;
    LogLevel level = LogLevel::Info;
};

std::optional<LineKind> kindOf(const EntryDecision& decision, const FlowPacket& packet)
{
    if (decision.action == EntryAction::Forward && decision.opensFlow)
        return LineKind { .event = "opening_placed" };
    if (decision.action == EntryAction::Forward)
        return std::nullopt;
    if (decision.action == EntryAction::Reset)
        return LineKind { .event = "opening_refused", .level = LogLevel::Warn };
    return LineKind { .event = packet.opensFlow() ? "opening_dropped" : "packet_dropped", .level = LogLevel::Warn };
}

std::optional<LineKind> kindOf(const RelayDecision& decision, const Search& search, const FlowPacket& packet)
{
    const bool opens = packet.opensFlow();
    switch (decision.action) {
    case RelayAction::Open:
        return LineKind { .event = "opening_taken" };
    case RelayAction::Deliver:
        if (opens || !(search.route.flags & dataplane::Route::passedOn))
            return std::nullopt;
        return LineKind { .event = "flow_found" };
    case RelayAction::Ask:
        return LineKind { .event = "flow_asked" };
    case RelayAction::PassOn:
        return LineKind { .event = opens ? "opening_passed_on" : "flow_passed_on" };
    case RelayAction::Reset:
        return LineKind { .event = opens ? "opening_refused" : "flow_reset", .level = LogLevel::Warn };
    case RelayAction::Drop:
        return LineKind { .event = opens ? "opening_dropped" : "packet_dropped", .level = LogLevel::Warn };
    }
    return std::nullopt;
}

// What helps, for decisions that a caller feels.
std::string_view remedyOf(RelayReason reason)
{
    switch (reason) {
    case RelayReason::TakenByNobody:
        return "add servers, or look at why the named ones take nothing";
    case RelayReason::ServerDead:
        return "look at the server beside this agent";
    case RelayReason::TableTooOld:
    case RelayReason::TableUnconfirmed:
        return "look at the controllers, and at the way to them";
    default:
        return {};
    }
}

} // namespace

std::string requestId(const fleet::FlowKey& flow, std::optional<std::uint32_t> openingSequence)
{
    const auto text = format(flow.caller) + "-" + format(flow.service);
    return openingSequence ? text + "#" + std::to_string(*openingSequence) : text;
}

void logDecision(const EntryDecision& decision, const FlowPacket& packet, std::uint64_t tableVersion)
{
    const auto kind = kindOf(decision, packet);
    if (!kind || !admitLine(kind->level, kind->event))
        return;
    const auto opening = packet.opensFlow() ? std::optional(packet.sequence) : std::nullopt;
    std::vector<LogField> fields {
        { .key = logkey::request, .value = requestId(packet.key, opening) },
        { .key = logkey::reason, .value = std::string(name(decision.reason)) },
        { .key = "table", .value = std::to_string(tableVersion) },
    };
    if (opening)
        fields.push_back({ .key = "copies", .value = std::to_string(packet.earlierCopies()) });
    if (decision.server)
        fields.push_back({ .key = logkey::server, .value = decision.server->name });
    logAdmitted(kind->level, kind->event, fields);
}

void logDecision(const RelayDecision& decision, const Search& search, const FlowPacket& packet, const RelayInputs& inputs)
{
    const auto kind = kindOf(decision, search, packet);
    if (!kind || !admitLine(kind->level, kind->event))
        return;
    const auto opening = packet.opensFlow() ? std::optional(packet.sequence) : inputs.openingSequence;
    std::vector<LogField> fields {
        { .key = logkey::request, .value = requestId(packet.key, opening) },
        { .key = logkey::reason, .value = std::string(name(decision.reason)) },
        { .key = "table", .value = std::to_string(inputs.tableVersion) },
        { .key = "table_age_ms", .value = inputs.tableAge ? std::to_string(inputs.tableAge->count()) : "never_confirmed" },
        { .key = "hops", .value = std::to_string(search.route.hops) },
    };
    if (packet.opensFlow()) {
        fields.push_back({ .key = "obstacle", .value = std::string(name(decision.obstacle)) });
        fields.push_back({ .key = "copies", .value = std::to_string(packet.earlierCopies()) });
        fields.push_back({ .key = "outstanding", .value = std::to_string(inputs.outstanding) });
        fields.push_back({ .key = "expected_wait_ms", .value = std::to_string(inputs.expectedWait.count()) });
    }
    if (decision.action == RelayAction::PassOn)
        fields.push_back({ .key = "next_agent", .value = format(decision.nextAgent) });
    if (const auto remedy = remedyOf(decision.reason); !remedy.empty())
        fields.push_back({ .key = logkey::remedy, .value = std::string(remedy) });
    logAdmitted(kind->level, kind->event, fields);
}

} // namespace clementinesill::passthrough

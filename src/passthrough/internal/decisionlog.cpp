#include "passthrough/internal/decisionlog.h"

#include "dataplane/types/loadnotice.h"
#include "fleet/fleettable.h"
#include "foundation/log.h"
#include "passthrough/types/entrydecision.h"
#include "passthrough/types/flowpacket.h"
#include "passthrough/types/relaydecision.h"
#include "passthrough/types/relaydecisioncontext.h"
#include "passthrough/types/search.h"

#include <vector>

namespace clementinesill::passthrough {

namespace {

// Event name and level of a decision's log line.
struct LogEvent {
    std::string_view event;
    LogLevel level = LogLevel::Info;
};

std::optional<LogEvent> eventFor(const EntryDecision& decision, const FlowPacket& packet)
{
    if (decision.action == EntryAction::Forward && decision.opensFlow)
        return LogEvent { .event = "opening_placed" };
    if (decision.action == EntryAction::Forward)
        return std::nullopt;
    if (decision.action == EntryAction::Reset)
        return LogEvent { .event = "opening_refused", .level = LogLevel::Warn };
    return LogEvent { .event = packet.opensFlow() ? "opening_dropped" : "packet_dropped", .level = LogLevel::Warn };
}

std::optional<LogEvent> eventFor(const RelayDecision& decision, const Search& search, const FlowPacket& packet)
{
    const bool opens = packet.opensFlow();
    switch (decision.action) {
    case RelayAction::Open:
        return LogEvent { .event = "opening_taken" };
    case RelayAction::Deliver:
        if (opens || !(search.route.flags & dataplane::Route::forwardedByAgent))
            return std::nullopt;
        return LogEvent { .event = "flow_found" };
    case RelayAction::Probe:
        return LogEvent { .event = "flow_asked" };
    case RelayAction::Forward:
        return LogEvent { .event = opens ? "opening_passed_on" : "flow_passed_on" };
    case RelayAction::Reset:
        return LogEvent { .event = opens ? "opening_refused" : "flow_reset", .level = LogLevel::Warn };
    case RelayAction::Drop:
        return LogEvent { .event = opens ? "opening_dropped" : "packet_dropped", .level = LogLevel::Warn };
    case RelayAction::Wait:
        return LogEvent { .event = "opening_held" };
    }
    return std::nullopt;
}

// Returns the remedy for reasons that affect the caller and need action by an operator; empty for others.
std::string_view remedyFor(RelayReason reason)
{
    switch (reason) {
    case RelayReason::RejectedByAllServers:
        return "add servers, or check why the listed servers reject new flows";
    case RelayReason::ServerDead:
        return "check the server on this VM";
    case RelayReason::TableStale:
    case RelayReason::TableUnconfirmed:
        return "check the controllers and the network connection to them";
    default:
        return {};
    }
}

} // namespace

std::string requestId(const fleet::FlowKey& flow, std::optional<std::uint32_t> initialSequence)
{
    const auto text = format(flow.caller) + "-" + format(flow.service);
    return initialSequence ? text + "#" + std::to_string(*initialSequence) : text;
}

void logDecision(const EntryDecision& decision, const FlowPacket& packet, std::uint64_t tableVersion)
{
    const auto logEvent = eventFor(decision, packet);
    if (!logEvent || !admitLine(logEvent->level, logEvent->event))
        return;
    const auto sequence = packet.opensFlow() ? std::optional(packet.sequence) : std::nullopt;
    std::vector<LogField> fields {
        { .key = logkey::request, .value = requestId(packet.key, sequence) },
        { .key = logkey::reason, .value = std::string(name(decision.reason)) },
        { .key = "table", .value = std::to_string(tableVersion) },
    };
    if (sequence)
        fields.push_back({ .key = "copies", .value = std::to_string(packet.synRetransmissions()) });
    if (decision.server)
        fields.push_back({ .key = logkey::server, .value = decision.server->name });
    if (decision.reason == EntryReason::ServiceFull)
        fields.push_back({ .key = logkey::remedy, .value = "add servers to the service; load_notice lines at level debug name the full ones" });
    logAdmitted(logEvent->level, logEvent->event, fields);
}

void logNotice(const dataplane::LoadNotice& notice, std::uint32_t serviceId)
{
    constexpr std::string_view event = "load_notice";
    if (!admitLine(LogLevel::Debug, event))
        return;
    std::string servers;
    for (const auto id : notice.servers)
        servers += (servers.empty() ? "" : ",") + std::to_string(id);
    const std::vector<LogField> fields {
        { .key = "service", .value = std::to_string(serviceId) },
        { .key = "load", .value = notice.level == dataplane::LoadLevel::Full ? "full" : "busy" },
        { .key = "priority", .value = std::to_string(notice.priority) },
        { .key = "valid_ms", .value = std::to_string(notice.validity.count()) },
        { .key = "servers", .value = servers },
    };
    logAdmitted(LogLevel::Debug, event, fields);
}

void logDecision(const RelayDecision& decision, const Search& search, const FlowPacket& packet, const RelayDecisionContext& context)
{
    const auto logEvent = eventFor(decision, search, packet);
    if (!logEvent || !admitLine(logEvent->level, logEvent->event))
        return;
    const auto sequence = packet.opensFlow() ? std::optional(packet.sequence) : context.initialSequence;
    std::vector<LogField> fields {
        { .key = logkey::request, .value = requestId(packet.key, sequence) },
        { .key = logkey::reason, .value = std::string(name(decision.reason)) },
        { .key = "table", .value = std::to_string(context.tableVersion) },
        { .key = "table_age_ms", .value = context.tableAge ? std::to_string(context.tableAge->count()) : "never_confirmed" },
        { .key = "hops", .value = std::to_string(search.route.hops) },
    };
    if (packet.opensFlow()) {
        fields.push_back({ .key = "obstacle", .value = std::string(name(decision.rejectReason)) });
        fields.push_back({ .key = "copies", .value = std::to_string(packet.synRetransmissions()) });
        fields.push_back({ .key = "outstanding", .value = std::to_string(context.outstanding) });
        fields.push_back({ .key = "expected_wait_ms", .value = std::to_string(context.expectedQueueingDelay.count()) });
    }
    if (decision.action == RelayAction::Forward)
        fields.push_back({ .key = "next_agent", .value = format(decision.nextAgent) });
    if (const auto remedy = remedyFor(decision.reason); !remedy.empty())
        fields.push_back({ .key = logkey::remedy, .value = std::string(remedy) });
    logAdmitted(logEvent->level, logEvent->event, fields);
}

} // namespace clementinesill::passthrough

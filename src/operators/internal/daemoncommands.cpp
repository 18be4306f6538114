#include "operators/internal/daemoncommands.h"

#include "admin.pb.h"
#include "admin/querystring.h"
#include "operators/histogramview.h"
#include "operators/internal/daemonquery.h"
#include "operators/internal/invocation.h"
#include "operators/internal/printer.h"
#include "operators/internal/texttable.h"
#include "operators/internal/timetext.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace clementinesill::operators {

namespace {

std::string flowTarget(const CommandOptions& options)
{
    std::string target = "/flows?limit=" + std::to_string(options.limit);
    const auto add = [&target](const std::string& key, const std::string& value) {
        if (!value.empty())
            target.append("&").append(key).append("=").append(admin::percentEncode(value));
    };
    add("caller", options.caller);
    add("service", options.service);
    add("server", options.server);
    return target;
}

std::string flowTable(const schema::FlowList& list)
{
    TextTable table({ "CALLER", "ADDRESS", "PROTOCOL", "SERVICE", "SERVER", "INCARNATION", "STATE", "AGE S", "IDLE S", "REASON", "DAEMON" });
    constexpr std::uint64_t msPerSecond = 1000;
    for (const auto& flow : list.flows()) {
        table.add({ flow.caller(), flow.address(), flow.protocol(), flow.service(), flow.server(), std::to_string(flow.incarnation()), flow.state(),
            std::to_string(flow.age_ms() / msPerSecond), std::to_string(flow.idle_ms() / msPerSecond), flow.reason(), flow.daemon() });
    }
    return table.render() + "\n\n" + std::to_string(list.flows_size()) + " of " + std::to_string(list.total()) + " flows";
}

std::string joinWithSpaces(const google::protobuf::RepeatedPtrField<std::string>& texts)
{
    return std::accumulate(texts.begin(), texts.end(), std::string(), [](const std::string& left, const std::string& right) { return left.empty() ? right : left + " " + right; });
}

std::string decisionTable(const schema::DecisionList& list)
{
    TextTable table({ "TIME", "DAEMON", "DECISION", "REASON", "SERVICE", "SERVER", "VERSION", "CANDIDATES" });
    for (const auto& decision : list.decisions()) {
        table.add({ timeText(decision.time_ms()), decision.daemon(), decision.decision(), decision.reason(), decision.service(), decision.server(),
            std::to_string(decision.version()), joinWithSpaces(decision.candidates()) });
    }
    return table.render();
}

// Text of a number in a table cell; empty if the cell does not apply.
std::string cell(bool applies, std::uint64_t number) { return applies ? std::to_string(number) : ""; }

std::string placementTable(const schema::PlacementList& list)
{
    std::string text;
    for (const auto& record : list.records()) {
        constexpr int percent = 100;
        text += (text.empty() ? "" : "\n\n") + record.daemon() + " in zone " + record.daemon_zone() + ", route " + record.route() + ", table " + std::to_string(record.version()) + ": " + record.decision() + " (" + record.reason() + ")";
        if (record.service().empty())
            continue;
        text += "\nservice " + record.service() + ", priority " + std::to_string(record.priority()) + ", " + std::to_string(std::lround(record.share() * percent)) + " % of the new flows\n";
        TextTable table({ "PLACE", "SERVER", "ZONE", "LOAD", "FULL FROM PRIORITY", "AGE MS", "EXPIRES IN MS" });
        for (const auto& candidate : record.candidates()) {
            const bool isKnown = candidate.expires_in_ms() > 0;
            table.add({ cell(candidate.place() > 0, candidate.place()), candidate.server(), candidate.zone(), candidate.load(), cell(candidate.load() == "full", candidate.full_priority()), cell(isKnown, candidate.age_ms()), cell(isKnown, candidate.expires_in_ms()) });
        }
        text += table.render();
    }
    return text;
}

} // namespace

void runFlows(Invocation& invocation)
{
    DaemonQuery query(invocation, flowTarget(invocation.options()));
    schema::FlowList list;
    std::uint64_t total = 0;
    for (const auto& response : query.responses<schema::FlowList>()) {
        list.MergeFrom(response);
        total += response.total();
    }
    list.set_total(total);
    invocation.printer().print(list, flowTable(list));
    query.throwFirstError();
}

void runExplain(Invocation& invocation)
{
    const auto& subject = invocation.arguments()[0];
    DaemonQuery query(invocation, "/explain?subject=" + admin::percentEncode(subject));
    schema::DecisionList list;
    for (const auto& response : query.responses<schema::DecisionList>())
        list.MergeFrom(response);
    if (list.decisions().empty()) {
        query.throwFirstError();
        throw Error(ErrorKind::NotFound, "none of the queried daemons has a decision about '" + subject + "'", "give the caller as ADDRESS:PORT or a request id, and list all balancers and agents with --daemon; each keeps only its most recent decisions");
    }
    std::ranges::stable_sort(*list.mutable_decisions(), {}, &schema::DecisionRecord::time_ms);
    invocation.printer().print(list, decisionTable(list));
    query.throwFirstError();
}

void runExplainPlacement(Invocation& invocation)
{
    const auto& address = invocation.arguments()[0];
    const auto& zone = invocation.options().zone;
    DaemonQuery query(invocation, "/placement?address=" + admin::percentEncode(address));
    schema::PlacementList list;
    for (const auto& response : query.responses<schema::PlacementList>()) {
        for (const auto& record : response.records()) {
            if (zone.empty() || record.daemon_zone() == zone)
                *list.add_records() = record;
        }
    }
    if (list.records().empty()) {
        query.throwFirstError();
        throw Error(ErrorKind::NotFound, "none of the queried daemons is a balancer" + (zone.empty() ? "" : " in zone '" + zone + "'"), "list the admin endpoints of balancers with --daemon; `clementinesill status` shows the daemons and their zones");
    }
    invocation.printer().print(list, placementTable(list));
    query.throwFirstError();
}

void runHistogram(Invocation& invocation)
{
    DaemonQuery query(invocation, "/histograms");
    schema::HistogramList list;
    for (const auto& response : query.responses<schema::HistogramList>())
        list.MergeFrom(response);
    const auto name = invocation.arguments().empty() ? "" : invocation.arguments()[0];
    const auto merged = mergeHistograms(list, name);
    if (merged.series().empty()) {
        query.throwFirstError();
        throw Error(ErrorKind::NotFound, "none of the queried daemons has a histogram" + (name.empty() ? "" : " '" + name + "'"), "list them with `clementinesill histogram`");
    }
    invocation.printer().print(merged, renderHistograms(merged, !name.empty()));
    query.throwFirstError();
}

} // namespace clementinesill::operators

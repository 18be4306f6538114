#include "operators/internal/command.h"

#include "operators/internal/changecommands.h"
#include "operators/internal/daemoncommands.h"
#include "operators/internal/readcommands.h"
#include "operators/internal/watchcommand.h"

#include <algorithm>
#include <array>

namespace clementinesill::operators {

namespace {

constexpr std::array<Command, 12> table { {
    {
        .name = "check",
        .arguments = "FOLDER",
        .minimumArguments = 1,
        .maximumArguments = 1,
        .summary = "validate the merged files of a folder offline",
        .details = "Merges the .json files of FOLDER in the order of their names and validates the result. Contacts no controller.",
        .run = &runCheck,
    },
    {
        .name = "apply",
        .arguments = "FOLDER",
        .minimumArguments = 1,
        .maximumArguments = 1,
        .summary = "apply the configuration files of a folder",
        .details = "Validates FOLDER, then replaces the controllers' current files with it. The change is based on the current\n"
                   "revision, or on --base-revision; if another change was accepted since, it is rejected with exit code 4\n"
                   "and nothing is changed. If the response is lost, the request is retried and applied at most once.",
        .run = &runApply,
    },
    {
        .name = "watch",
        .arguments = "FOLDER",
        .minimumArguments = 1,
        .maximumArguments = 1,
        .summary = "apply a folder each time its files change",
        .details = "Reads FOLDER every --interval and applies it when a file was added, edited or removed. An invalid folder is\n"
                   "reported and skipped until the files change again; after a conflict or a lost response the change is\n"
                   "retried. Runs until interrupted.",
        .run = &runWatch,
    },
    {
        .name = "zone",
        .arguments = "out|in NAME",
        .minimumArguments = 2,
        .maximumArguments = 2,
        .summary = "take an availability zone out of service, or bring it back",
        .details = "`zone out` drops the flows to servers in the zone; after a few seconds the zone receives no more packets.\n"
                   "`zone in` brings the zone back into service.",
        .run = &runZone,
    },
    {
        .name = "drain",
        .arguments = "SERVER",
        .minimumArguments = 1,
        .maximumArguments = 1,
        .summary = "stop new flows to a backend server; --resume allows them again",
        .details = "Established flows and requests in progress continue. --resume undoes a drain.",
        .run = &runDrain,
    },
    {
        .name = "status",
        .summary = "show revision, availability zones, controllers and daemons",
        .details = "BEHIND counts the table versions that a daemon has not acknowledged yet.",
        .run = &runStatus,
    },
    {
        .name = "servers",
        .summary = "list the backend servers",
        .details = "SILENT MS is the time since the server's agent last renewed its lease.",
        .run = &runServers,
    },
    {
        .name = "events",
        .summary = "show the controllers' decisions and their reasons",
        .details = "Prints each event as one line, or as one JSON object with --output json; oldest first.",
        .run = &runEvents,
    },
    {
        .name = "flows",
        .summary = "list the flows in the daemons' flow tables",
        .details = "Queries the admin endpoints given by --daemon or the client settings.",
        .run = &runFlows,
    },
    {
        .name = "explain",
        .arguments = "FLOW|REQUEST",
        .minimumArguments = 1,
        .maximumArguments = 1,
        .summary = "explain how a flow or request was routed",
        .details = "FLOW is the caller's ADDRESS:PORT, REQUEST a request id. Queries the admin endpoints given by --daemon or\n"
                   "the client settings; each daemon keeps only its most recent decisions.",
        .run = &runExplain,
    },
    {
        .name = "explain-placement",
        .arguments = "ADDRESS:PORT",
        .minimumArguments = 1,
        .maximumArguments = 1,
        .summary = "show where balancers would send a new flow of a route now, and why",
        .details = "Queries the balancers' admin endpoints given by --daemon or the client settings, and sends no packet. Servers\n"
                   "of the same PLACE are ordered by their rank for the flow; those without one get no new flows of the route.",
        .run = &runExplainPlacement,
    },
    {
        .name = "histogram",
        .arguments = "[NAME]",
        .maximumArguments = 1,
        .summary = "show durations by service and class, merged over all queried daemons",
        .details = "Without NAME, prints all histograms in a table; with NAME, also a bar for each bucket. A quantile is shown as\n"
                   "the upper bound of its bucket.",
        .run = &runHistogram,
    },
} };

} // namespace

std::span<const Command> commands()
{
    return table;
}

const Command* findCommand(std::string_view name)
{
    const auto found = std::ranges::find(table, name, &Command::name);
    return found == table.end() ? nullptr : &*found;
}

} // namespace clementinesill::operators

#include "operators/internal/command.h"

#include "operators/internal/changecommands.h"
#include "operators/internal/daemoncommands.h"
#include "operators/internal/readcommands.h"
#include "operators/internal/watchcommand.h"

#include <algorithm>
#include <array>

namespace clementinesill::operators {

namespace {

constexpr std::array<Command, 11> table { {
    {
        .name = "check",
        .arguments = "FOLDER",
        .fewestArguments = 1,
        .mostArguments = 1,
        .summary = "check the files of a folder as a whole, offline",
        .details = "Merges the .json files of FOLDER in the order of their names and checks the result. Asks no controller.",
        .run = &runCheck,
    },
    {
        .name = "apply",
        .arguments = "FOLDER",
        .fewestArguments = 1,
        .mostArguments = 1,
        .summary = "bring the files of a folder into force",
        .details = "Checks FOLDER, then has the controllers accept it in place of the files in force. The change is made from\n"
                   "the revision in force, or from --base-revision; if another change was accepted since, it is refused with\n"
                   "exit code 4 and nothing is changed. After a lost answer the same request is sent again and has one effect.",
        .run = &runApply,
    },
    {
        .name = "watch",
        .arguments = "FOLDER",
        .fewestArguments = 1,
        .mostArguments = 1,
        .summary = "apply a folder each time its files change",
        .details = "Looks at FOLDER every --interval and applies it when a file was added, edited or removed. A state that is\n"
                   "wrong is reported and left alone until the files change again; after a conflict or without an answer it is\n"
                   "tried again. Goes on until interrupted.",
        .run = &runWatch,
    },
    {
        .name = "zone",
        .arguments = "out|in NAME",
        .fewestArguments = 2,
        .mostArguments = 2,
        .summary = "take an availability zone out of service, or bring it back",
        .details = "`zone out` gives up the flows that end in the zone; it gets no more packets after a few seconds.\n"
                   "`zone in` brings it back.",
        .run = &runZone,
    },
    {
        .name = "drain",
        .arguments = "SERVER",
        .fewestArguments = 1,
        .mostArguments = 1,
        .summary = "let a backend server take no new flows, or with --resume again",
        .details = "Established flows and requests in progress go on. --resume undoes a drain.",
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
        .summary = "show what the fleet decided and why",
        .details = "Prints one line, or with --output json one object, for each event; oldest first.",
        .run = &runEvents,
    },
    {
        .name = "flows",
        .summary = "list flows as the daemons hold them",
        .details = "Asks the admin endpoints named by --daemon or the client settings.",
        .run = &runFlows,
    },
    {
        .name = "explain",
        .arguments = "FLOW|REQUEST",
        .fewestArguments = 1,
        .mostArguments = 1,
        .summary = "say why a flow or request went where it went",
        .details = "FLOW is the caller's ADDRESS:PORT, REQUEST the id of a request. Asks the admin endpoints named by --daemon or\n"
                   "the client settings; each daemon remembers only its last decisions.",
        .run = &runExplain,
    },
    {
        .name = "histogram",
        .arguments = "[NAME]",
        .mostArguments = 1,
        .summary = "show durations for each service and class, over all daemons asked",
        .details = "Without NAME all histograms in a table; with NAME also a bar for each bucket. A quantile is the upper bound of\n"
                   "its bucket.",
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

#include "operators/internal/command.h"

#include "operators/internal/changecommands.h"
#include "operators/internal/readcommands.h"

#include <algorithm>
#include <array>

namespace clementinesill::operators {

namespace {

constexpr std::array<Command, 4> table { {
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
        .name = "status",
        .summary = "show revision, availability zones, controllers and daemons",
        .details = "BEHIND counts the table versions that a daemon has not acknowledged yet.",
        .run = &runStatus,
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

#include "operators/commandline.h"

#include "foundation/error.h"
#include "operators/internal/command.h"
#include "operators/internal/commandarguments.h"
#include "operators/internal/invocation.h"
#include "operators/internal/printer.h"
#include "operators/types/exitcode.h"

#include <algorithm>
#include <iomanip>
#include <ostream>

namespace clementinesill::operators {

namespace {

constexpr std::string_view exitCodeHelp = R"(
Exit codes: 0 success; 1 failure; 2 invalid command line; 3 invalid files or settings; 4 another change was accepted
first; 5 no controller with a quorum responded, nothing was changed; 6 no response, the change may or may not have been
accepted; 7 not found.
)";

void printHelp(std::ostream& out)
{
    out << "usage: clementinesill COMMAND [ARGUMENTS] [OPTIONS]\n\nOperates a clementinesill load balancer.\n\nCommands:\n";
    for (const auto& command : commands()) {
        constexpr int nameWidth = 26;
        const auto usage = std::string(command.name) + " " + std::string(command.arguments);
        out << "  " << std::left << std::setw(nameWidth) << usage << command.summary << '\n';
    }
    out << "\n`clementinesill COMMAND --help` describes a command and its options.\n"
        << exitCodeHelp;
}

void printHelp(std::ostream& out, const Command& command)
{
    out << "usage: clementinesill " << command.name << (command.arguments.empty() ? "" : " ") << command.arguments << " [OPTIONS]\n\n"
        << command.details << "\n\n"
        << optionHelp() << exitCodeHelp;
}

int usageError(std::ostream& err, const std::string& problem, const std::string& remedy)
{
    err << "clementinesill: " << problem << "; " << remedy << '\n';
    return static_cast<int>(ExitCode::Usage);
}

int run(const Command& command, const CommandArguments& arguments, const CommandEnvironment& environment)
{
    Printer printer(environment.out, environment.err, arguments.options.json);
    try {
        Invocation invocation(arguments.positional, withClientSettings(arguments), printer, environment);
        command.run(invocation);
        return static_cast<int>(ExitCode::Ok);
    } catch (const Error& error) {
        printer.printError(error);
        return static_cast<int>(exitCode(error.kind()));
    } catch (const std::exception& error) {
        printer.printError(Error(ErrorKind::Malformed, error.what(), "report this error with the command line that caused it"));
        return static_cast<int>(ExitCode::Failed);
    }
}

} // namespace

int runCommandLine(std::span<const std::string> arguments, const CommandEnvironment& environment)
{
    const bool wantsHelp = !arguments.empty() && (arguments[0] == "--help" || arguments[0] == "-h" || arguments[0] == "help");
    if (wantsHelp) {
        printHelp(environment.out);
        return static_cast<int>(ExitCode::Ok);
    }
    if (arguments.empty()) {
        printHelp(environment.err);
        return static_cast<int>(ExitCode::Usage);
    }
    const auto* command = findCommand(arguments[0]);
    if (!command)
        return usageError(environment.err, "unknown command '" + arguments[0] + "'", "see `clementinesill --help`");
    CommandArguments parsed;
    try {
        parsed = parseArguments(arguments.subspan(1));
    } catch (const Error& error) {
        return usageError(environment.err, error.problem(), error.remedy());
    }
    if (parsed.help) {
        printHelp(environment.out, *command);
        return static_cast<int>(ExitCode::Ok);
    }
    const auto count = parsed.positional.size();
    if (count < command->minimumArguments || count > command->maximumArguments)
        return usageError(environment.err, "wrong number of arguments", "write `clementinesill " + std::string(command->name) + " " + std::string(command->arguments) + "`");
    return run(*command, parsed, environment);
}

} // namespace clementinesill::operators

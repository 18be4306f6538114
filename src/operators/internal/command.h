#pragma once

#include <span>
#include <string_view>

namespace clementinesill::operators {

class Invocation;

// One command of the command line.
struct Command {
    std::string_view name;
    // As shown in the usage line, such as "FOLDER".
    std::string_view arguments;
    std::size_t minimumArguments = 0;
    std::size_t maximumArguments = 0;
    // One line in the list of commands.
    std::string_view summary;
    // Paragraphs for `COMMAND --help`.
    std::string_view details;
    void (*run)(Invocation&) = nullptr;
};

// In the order of the help text.
std::span<const Command> commands();

// Returns null if there is no such command.
const Command* findCommand(std::string_view name);

} // namespace clementinesill::operators

#pragma once

#include <span>
#include <string_view>

namespace clementinesill::operators {

class Invocation;

// One command of the command line.
struct Command {
    std::string_view name;
    // As in the usage line, such as "FOLDER".
    std::string_view arguments;
    std::size_t fewestArguments = 0;
    std::size_t mostArguments = 0;
    // One line for the list of commands.
    std::string_view summary;
    // Paragraphs for `COMMAND --help`.
    std::string_view details;
    void (*run)(Invocation&) = nullptr;
};

// In the order of the help.
std::span<const Command> commands();

// Null if there is none of the name.
const Command* findCommand(std::string_view name);

} // namespace clementinesill::operators

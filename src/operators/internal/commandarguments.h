#pragma once

#include "operators/types/commandoptions.h"

#include <span>
#include <string>
#include <vector>

namespace clementinesill::operators {

// The parsed arguments that follow the command name, before defaults from the client settings are applied.
struct CommandArguments {
    bool help = false;
    std::vector<std::string> positional;
    // File given by --config; the default path if empty.
    std::string configFile;
    CommandOptions options;
};

// Throws Error (InvalidArgument) for an unknown option or an invalid value.
CommandArguments parseArguments(std::span<const std::string> arguments);

// Returns the options, with missing ones taken from the client settings. Throws ConfigError.
CommandOptions withClientSettings(const CommandArguments& arguments);

// Help text for all options.
std::string optionHelp();

} // namespace clementinesill::operators

#pragma once

#include "operators/types/commandoptions.h"

#include <span>
#include <string>
#include <vector>

namespace clementinesill::operators {

// A command line after its command, read but not yet completed by the client settings.
struct CommandArguments {
    bool help = false;
    std::vector<std::string> positional;
    // Client settings named by --config; the default place if empty.
    std::string configFile;
    CommandOptions options;
};

// Throws Error (InvalidArgument) for an unknown option or a bad value.
CommandArguments parseArguments(std::span<const std::string> arguments);

// Fills in what the command line left out from the client settings. Throws ConfigError.
CommandOptions withClientSettings(const CommandArguments& arguments);

// Describes the options.
std::string optionHelp();

} // namespace clementinesill::operators

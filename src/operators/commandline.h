#pragma once

#include "foundation/iclock.h"

#include <functional>
#include <iosfwd>
#include <span>
#include <string>

namespace clementinesill {
class IRandom;
}

namespace clementinesill::operators {

// External dependencies of the command line.
struct CommandEnvironment {
    std::ostream& out;
    std::ostream& err;
    const IClock& clock;
    IRandom& random;
    // Blocks for the duration; tests advance their clock instead.
    std::function<void(Duration)> sleep;
    // Polled by commands that run until they are stopped.
    std::function<bool()> shouldStop;
};

// Runs `clementinesill ARGUMENTS...` and returns its exit code, see types/exitcode.h. Does not throw: an error is
// printed to err as one line, or as one JSON object with --output json.
int runCommandLine(std::span<const std::string> arguments, const CommandEnvironment& environment);

} // namespace clementinesill::operators

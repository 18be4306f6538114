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

// What the command line takes from its surroundings.
struct CommandEnvironment {
    std::ostream& out;
    std::ostream& err;
    const IClock& clock;
    IRandom& random;
    // Waits; a test advances its clock instead.
    std::function<void(Duration)> pause;
    // Asked by commands that go on until they are told to stop.
    std::function<bool()> stopped;
};

// Runs `clementinesill ARGUMENTS...` and returns its exit code, see types/exitcode.h. Throws nothing: a failure is
// printed to err in one line, or as one JSON object with --output json.
int runCommandLine(std::span<const std::string> arguments, const CommandEnvironment& environment);

} // namespace clementinesill::operators

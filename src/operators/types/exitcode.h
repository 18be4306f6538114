#pragma once

#include "foundation/types/errorkind.h"

namespace clementinesill::operators {

// Exit codes of the command line, documented in docs/operating.md.
enum class ExitCode {
    Ok = 0,
    // Any other error.
    Failed = 1,
    // Unknown command, option or argument.
    Usage = 2,
    // The folder, the settings or the request is invalid; nothing was changed.
    Invalid = 3,
    // Another change was accepted first; nothing was changed.
    Conflict = 4,
    // No controller with a quorum responded; nothing was changed.
    Unavailable = 5,
    // The response was lost: the change may or may not have been accepted.
    Unknown = 6,
    // The named zone, server, flow or request does not exist.
    NotFound = 7,
};

ExitCode exitCode(ErrorKind kind);

} // namespace clementinesill::operators

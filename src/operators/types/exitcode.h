#pragma once

#include "foundation/types/errorkind.h"

namespace clementinesill::operators {

// Exit codes of the command line, documented in docs/operating.md.
enum class ExitCode {
    Ok = 0,
    // Any failure without a code of its own.
    Failed = 1,
    // Unknown command, option or argument.
    Usage = 2,
    // The folder, settings or request is wrong; nothing was changed.
    Invalid = 3,
    // Another change was accepted first; nothing was changed.
    Conflict = 4,
    // No controller with a quorum answered; nothing was changed.
    Unavailable = 5,
    // No answer: the change may or may not be accepted.
    Unknown = 6,
    // The named zone, server, flow or request does not exist.
    NotFound = 7,
};

ExitCode exitCode(ErrorKind kind);

} // namespace clementinesill::operators

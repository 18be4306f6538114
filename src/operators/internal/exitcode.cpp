#include "operators/types/exitcode.h"

namespace clementinesill::operators {

ExitCode exitCode(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidSettings:
    case ErrorKind::InvalidConfiguration:
    case ErrorKind::Unsupported:
        return ExitCode::Invalid;
    case ErrorKind::InvalidArgument:
        return ExitCode::Usage;
    case ErrorKind::Conflict:
        return ExitCode::Conflict;
    case ErrorKind::Unavailable:
        return ExitCode::Unavailable;
    case ErrorKind::Timeout:
        return ExitCode::Unknown;
    case ErrorKind::NotFound:
        return ExitCode::NotFound;
    default:
        return ExitCode::Failed;
    }
}

} // namespace clementinesill::operators

#include "dataplane/types/senderror.h"

#include <cerrno>

namespace clementinesill::dataplane {

SendError classifySendError(int errorNumber)
{
    switch (errorNumber) {
    case EMSGSIZE:
        return SendError::TooLarge;
    case ENETUNREACH:
    case EHOSTUNREACH:
    case EACCES:
        return SendError::Unreachable;
    case ENOBUFS:
    case EAGAIN:
        return SendError::NoBuffer;
    default:
        return SendError::Other;
    }
}

std::string_view name(SendError error)
{
    switch (error) {
    case SendError::TooLarge:
        return "too_large";
    case SendError::Unreachable:
        return "unreachable";
    case SendError::NoBuffer:
        return "no_buffer";
    case SendError::Other:
        return "other";
    }
    return "unknown";
}

} // namespace clementinesill::dataplane
